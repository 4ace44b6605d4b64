#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <ostream>
#include <vector>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/membership/exchange.h"
#include "medlarcroft/membership/membership_table.h"

namespace medlarcroft::membership {
namespace {

HostState StateOf(std::size_t number, std::uint64_t process) {
  return {.host = HostName("entry-host-" + std::to_string(number)),
          .failure_domain = FailureDomainName("kg-nyarugenge"),
          .number = {.incarnation = process << kPauseBits},
          .phase = HostPhase::kReady,
          .lookup_address = "10.12.34.56:8080",
          .entry_address = "10.12.34.56:8081",
          .peer_address = "10.12.34.56:8082"};
}

// Guards against a leaving host or target that gets new work again. Cause:
// messages from before the leaving state arrive later, through others or
// repeatedly, and the platform's list is stale. In any order, once a table
// knows that a process is leaving it never shows it as live, and what it knows
// of a host never goes back to an older number.
TEST(MembershipProperty, LeavingIsNeverUndoneByOlderSources) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    fakes::SeededRandom random(seed);
    fakes::ManualClock clock;
    MembershipTable table({}, StateOf(0, 1), clock);
    HostState actual_state = StateOf(1, 1);
    std::vector<HostState> sent_states;
    std::uint64_t newest_leaving_process = 0;
    StateNumber newest;
    for (int step = 0; step < 200; ++step) {
      clock.Advance(std::chrono::milliseconds(random.NextBelow(400)));
      (void)table.Tick();
      switch (random.NextBelow(12)) {
        case 0:
          actual_state =
              StateOf(1, ProcessOf(actual_state.number.incarnation) + 1);
          break;
        case 1:  // The process was paused.
          ++actual_state.number.incarnation;
          actual_state.number.sequence = 0;
          break;
        case 2:
          actual_state.phase = HostPhase::kLeaving;
          break;
        case 3: {
          const ports::ListedHost listed{
              .name = actual_state.host.Value(),
              .failure_domain = actual_state.failure_domain,
              .is_leaving = random.NextBelow(2) == 0};
          table.ApplyHostList(std::span(&listed, 1));
          break;
        }
        default:
          break;
      }
      ++actual_state.number.sequence;
      sent_states.push_back(actual_state);
      // One of the last ten states arrives, with an age of 0 to 3 s.
      const std::size_t back =
          random.NextBelow(std::min<std::uint64_t>(sent_states.size(), 10));
      HostState received = sent_states[sent_states.size() - 1 - back];
      received.age = std::chrono::milliseconds(300 * back);
      (void)table.Receive(received);

      const auto member = table.Find(actual_state.host);
      RC_ASSERT(member->state.number >= newest);
      newest = member->state.number;
      const std::uint64_t process = ProcessOf(newest.incarnation);
      if (member->liveness == Liveness::kLeaving) {
        newest_leaving_process = std::max(newest_leaving_process, process);
      }
      RC_ASSERT(process > newest_leaving_process ||
                member->liveness == Liveness::kLeaving ||
                member->liveness == Liveness::kDead);
    }
  }));
}

}  // namespace
}  // namespace medlarcroft::membership
