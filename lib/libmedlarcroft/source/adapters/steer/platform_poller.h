#ifndef MEDLARCROFT_ADAPTERS_STEER_PLATFORM_POLLER_H_
#define MEDLARCROFT_ADAPTERS_STEER_PLATFORM_POLLER_H_

#include <cstdint>

#include "adapters/steer/catalogue_sync.h"
#include "adapters/steer/steer_core.h"
#include "medlarcroft/catalogue/catalogue_poller.h"
#include "medlarcroft/catalogue/platform_poll_schedule.h"
#include "medlarcroft/catalogue/platform_rate_limiter.h"
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
    catalogue::CataloguePoller& relay;
    CatalogueAgent& agent;
    ports::HostList& hosts;
    catalogue::PlatformRateLimiter& budget;
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
  catalogue::PlatformPollSchedule schedule_;
  catalogue::HostListPollTiming host_list_pace_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_PLATFORM_POLLER_H_
