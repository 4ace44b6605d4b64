#include "adapters/steer/platform_poller.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "adapters/process/log.h"
#include "medlarcroft/steering/block_map_codec.h"

namespace medlarcroft::adapters {

namespace {

using catalogue::PlatformPoll;

/// The map changes a few times a day. 880 hosts with this period cause 15 reads
/// a second in all.
constexpr Duration kBlockMapPollPeriod = std::chrono::seconds(60);

/// Hosts per failure domain that poll the catalogue's head. Two polling at once
/// do no harm, and the failure of one delays no change.
constexpr std::size_t kCatalogueHeadPollersPerDomain = 2;
constexpr std::string_view kCatalogueHeadPollTask = "watch-catalogue-head";

/// The row that holds the newest version number of the block map, and the name
/// prefix of the objects that hold the versions.
constexpr std::string_view kBlockMapHeadKey = "blocks/head";
constexpr std::string_view kBlockMapObjectPrefix = "blocks/map-";
constexpr std::size_t kMaxLoggedHeadBytes = 32;

}  // namespace

std::optional<std::uint64_t> ParseBlockMapVersion(std::string_view text) {
  std::uint64_t version = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, version);
  if (error != std::errc() || stop != end || version == 0) {
    return std::nullopt;
  }
  return version;
}

Duration PlatformPoller::PollDue() {
  if (schedule_.IsDue(PlatformPoll::kCatalogueHead,
                      dependencies_.clock.Now())) {
    const Duration pause =
        dependencies_.relay.Step(dependencies_.core.IsAssignedTo(
            kCatalogueHeadPollTask, kCatalogueHeadPollersPerDomain));
    dependencies_.catalogue_sync.Publish();
    schedule_.SetDue(PlatformPoll::kCatalogueHead,
                     dependencies_.clock.Now() + pause);
  }

  const MonotonicTime now = dependencies_.clock.Now();
  if (schedule_.IsDue(PlatformPoll::kHostList, now)) {
    schedule_.SetDue(PlatformPoll::kHostList, now + ReadHostList());
  }
  if (schedule_.IsDue(PlatformPoll::kBlockMap, now)) {
    schedule_.SetDue(PlatformPoll::kBlockMap, now + kBlockMapPollPeriod);
    ReadBlockMap();
  }
  return schedule_.TimeUntilNextDue(dependencies_.clock.Now());
}

Duration PlatformPoller::ReadHostList() {
  if (!dependencies_.budget.TryAcquireRead()) {
    return host_list_timing_.AfterFailure();
  }
  auto hosts = dependencies_.hosts.List();
  dependencies_.budget.RecordOutcome(IsOk(hosts));
  if (!IsOk(hosts)) {
    return host_list_timing_.AfterFailure();
  }
  const auto& list = ValueOf(hosts);
  const auto entry_hosts = static_cast<std::size_t>(std::ranges::count(
      list, ports::ListedRole::kEntryHost, &ports::ListedHost::role));
  dependencies_.core.ApplyHostList(TakeValue(std::move(hosts)));
  return host_list_timing_.AfterRead(entry_hosts);
}

void PlatformPoller::ReadBlockMap() {
  const auto head = dependencies_.table.Read(kBlockMapHeadKey);
  if (!IsOk(head) || ValueOf(head).version == 0) {
    return;
  }
  const std::string& text = ValueOf(head).value;
  const auto version = ParseBlockMapVersion(text);
  if (!version) {
    const std::string start = text.substr(0, kMaxLoggedHeadBytes);
    Log(LogLevel::kError, "block-map-head-unreadable",
        {{"row_version", ValueOf(head).version}, {"text", start}});
    return;
  }
  if (*version <= dependencies_.core.ClientBlockMap().Current()->Version()) {
    return;
  }

  const auto object =
      dependencies_.objects.Get(std::string(kBlockMapObjectPrefix) + text);
  if (!IsOk(object) || !ValueOf(object)) {
    Log(LogLevel::kError, "block-map-not-read",
        {{"version", *version}, {"is_missing", IsOk(object)}});
    return;
  }
  auto map = steering::DecodeBlockMap(*ValueOf(object));
  if (!IsOk(map)) {
    Log(LogLevel::kError, "block-map-refused",
        {{"version", *version}, {"reason", steering::ToString(ErrorOf(map))}});
    return;
  }
  const auto adopted =
      dependencies_.core.ClientBlockMap().Adopt(TakeValue(std::move(map)));
  if (IsOk(adopted)) {
    Log(LogLevel::kInfo, "block-map-adopted", {{"version", *version}});
  }
}

}  // namespace medlarcroft::adapters
