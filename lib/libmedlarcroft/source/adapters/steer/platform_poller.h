#ifndef MEDLARCROFT_ADAPTERS_STEER_PLATFORM_POLLER_H_
#define MEDLARCROFT_ADAPTERS_STEER_PLATFORM_POLLER_H_

#include <cstdint>
#include <optional>
#include <string_view>

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

/// @return the version that the head row of the block map names, from 1;
/// nullopt when the text is anything but a whole number.
[[nodiscard]] std::optional<std::uint64_t> ParseBlockMapVersion(
    std::string_view text);

/// @brief Polls the platform for the catalogue's head, the host list and the
/// client block map. The calls block, so they run on a thread of their own: a
/// slow platform delays nothing else.
class PlatformPoller {
 public:
  struct Dependencies {
    SteerCore& core;
    catalogue::CataloguePoller& relay;
    CatalogueSync& catalogue_sync;
    ports::HostList& hosts;
    catalogue::PlatformRateLimiter& budget;
    ports::TableStore& table;
    ports::ObjectStore& objects;
    const ports::Clock& clock;
  };

  explicit PlatformPoller(const Dependencies& dependencies)
      : dependencies_(dependencies) {}

  /// @brief Reads everything that is due.
  /// @return the time until the next call.
  Duration PollDue();

 private:
  /// @return the time until the next read of the list.
  [[nodiscard]] Duration ReadHostList();
  void ReadBlockMap();

  const Dependencies dependencies_;
  catalogue::PlatformPollSchedule schedule_;
  catalogue::HostListPollTiming host_list_timing_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_PLATFORM_POLLER_H_
