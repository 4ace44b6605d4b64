#include "adapters/steer/platform_poller.h"

#include <algorithm>
#include <charconv>
#include <string>

#include "adapters/process/log.h"
#include "medlarcroft/steering/block_map_codec.h"

namespace medlarcroft::adapters {

namespace {

using catalogue::PlatformPoll;

/// The map changes a few times a day; 880 hosts are 15 reads a second.
constexpr Duration kBlockMapPeriod = std::chrono::seconds(60);

/// Two at once do no harm, and the loss of one delays no change.
constexpr std::size_t kCatalogueRelays = 2;
constexpr std::string_view kCatalogueTask = "watch-catalogue-head";

/// The row whose value is the newest version of the block map, and the objects
/// that hold each version.
constexpr std::string_view kBlockMapHead = "blocks/head";
constexpr std::string_view kBlockMapObjectPrefix = "blocks/map-";

}  // namespace

Duration PlatformWatch::Step() {
  if (schedule_.IsDue(PlatformPoll::kCatalogueHead, parts_.clock.Now())) {
    const Duration pause = parts_.relay.Step(
        parts_.core.IsRelayFor(kCatalogueTask, kCatalogueRelays));
    parts_.agent.Publish();
    schedule_.SetDue(PlatformPoll::kCatalogueHead, parts_.clock.Now() + pause);
  }

  const MonotonicTime now = parts_.clock.Now();
  if (schedule_.IsDue(PlatformPoll::kHostList, now)) {
    schedule_.SetDue(PlatformPoll::kHostList, now + ReadHostList());
  }
  if (schedule_.IsDue(PlatformPoll::kBlockMap, now)) {
    schedule_.SetDue(PlatformPoll::kBlockMap, now + kBlockMapPeriod);
    ReadBlockMap();
  }
  return schedule_.TimeUntilNextDue(parts_.clock.Now());
}

Duration PlatformWatch::ReadHostList() {
  if (!parts_.budget.TryAcquireRead()) {
    return host_list_pace_.AfterFailure();
  }
  auto hosts = parts_.hosts.List();
  parts_.budget.RecordOutcome(IsOk(hosts));
  if (!IsOk(hosts)) {
    return host_list_pace_.AfterFailure();
  }
  const auto& list = ValueOf(hosts);
  const auto entry_hosts = static_cast<std::size_t>(std::ranges::count(
      list, ports::ListedRole::kEntryHost, &ports::ListedHost::role));
  parts_.core.ApplyHostList(TakeValue(std::move(hosts)));
  return host_list_pace_.AfterRead(entry_hosts);
}

void PlatformWatch::ReadBlockMap() {
  const auto head = parts_.table.Read(kBlockMapHead);
  if (!IsOk(head) || ValueOf(head).version == 0) {
    return;
  }
  const std::string& text = ValueOf(head).value;
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  if (version <= parts_.core.Blocks().Current()->Version()) {
    return;
  }

  const auto object =
      parts_.objects.Get(std::string(kBlockMapObjectPrefix) + text);
  if (!IsOk(object) || !ValueOf(object)) {
    return;
  }
  auto map = steering::DecodeBlockMap(*ValueOf(object));
  if (!IsOk(map)) {
    Log(LogLevel::kError, "block-map-refused",
        {{"version", version}, {"reason", steering::ToString(ErrorOf(map))}});
    return;
  }
  const auto adopted = parts_.core.Blocks().Adopt(TakeValue(std::move(map)));
  if (IsOk(adopted)) {
    Log(LogLevel::kInfo, "block-map-adopted", {{"version", version}});
  }
}

}  // namespace medlarcroft::adapters
