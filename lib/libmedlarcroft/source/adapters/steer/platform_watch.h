#ifndef MEDLARCROFT_ADAPTERS_STEER_PLATFORM_WATCH_H_
#define MEDLARCROFT_ADAPTERS_STEER_PLATFORM_WATCH_H_

#include <cstdint>

#include "adapters/steer/catalogue_agent.h"
#include "adapters/steer/steer_core.h"
#include "medlarcroft/catalogue/catalogue_relay.h"
#include "medlarcroft/catalogue/platform_budget.h"
#include "medlarcroft/catalogue/platform_schedule.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/host_list.h"
#include "medlarcroft/ports/object_store.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::adapters {

/// @brief All that steerd reads from the platform by itself: the catalogue's
/// head, the host list, the client block map. Its steps block, so they have a
/// thread of their own, and a slow platform delays nothing else.
class PlatformWatch {
 public:
  struct Parts {
    SteerCore& core;
    catalogue::CatalogueRelay& relay;
    CatalogueAgent& agent;
    ports::HostList& hosts;
    catalogue::PlatformBudget& budget;
    ports::TableStore& table;
    ports::ObjectStore& objects;
    const ports::Clock& clock;
  };

  explicit PlatformWatch(const Parts& parts) : parts_(parts) {}

  /// @brief Reads what is due.
  /// @return the pause until the next step.
  Duration Step();

 private:
  /// @return the pause until the list is read again.
  [[nodiscard]] Duration ReadHostList();
  void ReadBlockMap();

  const Parts parts_;
  catalogue::PlatformSchedule schedule_;
  catalogue::HostListPace host_list_pace_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_PLATFORM_WATCH_H_
