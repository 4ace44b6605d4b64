#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/request_path/target_directory.h"

namespace medlarcroft::request_path {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("desk");
const TargetName kTarget("t");

class NoObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange /*change*/,
                      const TargetRecord& /*target*/) override {}
};

/// @brief One update that a host receives.
struct RegistryUpdate {
  std::optional<TargetRecord>
      entry;  ///< A new entry; absent: removal or object.
  std::optional<TargetIdentity> handled;  ///< Reported by another host.
  bool is_bad_entry = false;
};

TargetRecord MakeEntry(TargetIncarnation incarnation, bool is_leaving) {
  return {.id = kTarget,
          .incarnation = incarnation,
          .service = kService,
          .address = "127.0.0.1:80",
          .domain = FailureDomainName("a"),
          .slots = 3,
          .is_leaving = is_leaving};
}

/// @return the registry writes of one process in order, with the removal of its
/// entry last, if any.
std::vector<RegistryUpdate> MakeHistory(TargetIncarnation incarnation,
                                        bool leaves,
                                        bool is_removed) {
  std::vector<RegistryUpdate> history = {
      {.entry = MakeEntry(incarnation, false)}};
  if (leaves) {
    history.push_back({.entry = MakeEntry(incarnation, true)});
  }
  if (is_removed) {
    history.push_back({});
  }
  return history;
}

bool DrawBool(fakes::SeededRandom& random) {
  return random.NextBelow(2) == 0;
}

ObjectKey ObjectFor(TargetIncarnation incarnation) {
  return ObjectKey("object-" + std::to_string(incarnation));
}

void ApplyUpdate(TargetDirectory& book, const RegistryUpdate& update) {
  if (update.is_bad_entry) {
    book.Suspend(kTarget);
  } else if (update.handled) {
    if (TargetState* const state = book.Find(*update.handled)) {
      state->OnSentByOtherHost(ObjectFor(update.handled->incarnation));
    }
  } else if (update.entry) {
    book.Put(*update.entry, kStart);
  } else {
    book.Remove(kTarget, std::nullopt);
  }
}

/// @return the registry's updates in order; some are missing, and old entries,
/// invalid entries and reports of other hosts on objects are mixed in.
std::vector<RegistryUpdate> DrawReceivedUpdates(
    const std::vector<RegistryUpdate>& registry,
    TargetIncarnation last,
    fakes::SeededRandom& random) {
  std::vector<RegistryUpdate> received;
  for (std::size_t i = 0; i < registry.size(); ++i) {
    const bool is_received = i + 1 == registry.size() || DrawBool(random);
    if (is_received) {
      received.push_back(registry[i]);
    }
    const TargetIncarnation reported = 1 + random.NextBelow(last);
    received.push_back({.handled = TargetIdentity{kTarget, reported}});
    if (reported < last) {
      received.push_back({.entry = MakeEntry(reported, DrawBool(random))});
    }
    if (i + 1 < registry.size() && DrawBool(random)) {
      received.push_back({.is_bad_entry = true});
    }
  }
  // Stale updates on earlier processes must not undo the last one.
  if (last > 1) {
    const TargetIncarnation stale = 1 + random.NextBelow(last - 1);
    received.push_back({.entry = MakeEntry(stale, DrawBool(random))});
    received.push_back({.handled = TargetIdentity{kTarget, stale}});
  }
  return received;
}

void CheckHosts(std::uint64_t seed) {
  fakes::SeededRandom random(seed);
  const TargetIncarnation last = 1 + random.NextBelow(4);
  const bool is_running = DrawBool(random);
  std::vector<RegistryUpdate> registry;
  for (TargetIncarnation number = 1; number <= last; ++number) {
    const bool is_last = number == last;
    const bool leaves = is_last ? !is_running : DrawBool(random);
    const bool is_removed = !is_last && DrawBool(random);
    for (const RegistryUpdate& update :
         MakeHistory(number, leaves, is_removed)) {
      registry.push_back(update);
    }
  }

  for (int host = 0; host < 3; ++host) {
    NoObserver observer;
    TargetDirectory book({{FailureDomainName("a"), RegionName("north")}},
                         observer);
    book.ReplaceAll({}, {}, std::nullopt, kStart);
    for (const RegistryUpdate& update :
         DrawReceivedUpdates(registry, last, random)) {
      ApplyUpdate(book, update);
    }

    RC_ASSERT(book.Usable(kService).size() == (is_running ? 1U : 0U));
    TargetState* const state = book.Find({kTarget, last});
    RC_ASSERT(state != nullptr);
    for (TargetIncarnation earlier = 1; earlier < last; ++earlier) {
      RC_ASSERT(book.Find({kTarget, earlier}) == nullptr);
      RC_ASSERT(!state->HasHandled(ObjectFor(earlier)));
    }
  }
}

// A target restarts repeatedly under the same id, with or without announcing
// that it leaves. Each host learns of it late and in part, mixed with old
// entries, unreadable entries and reports of other hosts on objects. Callers
// must reach the running process and none that left, and assumptions on an
// earlier process must not route a request to the next one.
TEST(TargetRestartProperty, HostsAgreeOnTheRunningProcess) {
  EXPECT_TRUE(rc::check(&CheckHosts));
}

}  // namespace
}  // namespace medlarcroft::request_path
