#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <iostream>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "property/domain_model.h"

namespace medlarcroft::testing {
namespace {

enum class Event {
  kTick,
  kPause,
  kWake,
  kRestart,
  kUnlist,
  kList,
  kPlatformDown,
  kPlatformUp,
  kLoseAnswer,
  kDelayWrite,
  kDeliverLate,
  kDeclare,
  kLearn,
  kHandOver,
};

struct Command {
  Event event = Event::kTick;
  std::uint32_t host = 0;
  std::uint32_t number = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << static_cast<int>(command.event) << "/" << command.host << "/"
             << command.number;
}

struct Mix {
  const char* name;
  std::vector<Event> events;
};

/// Without it a test's name would hold addresses.
std::ostream& operator<<(std::ostream& out, const Mix& mix) {
  return out << mix.name;
}

rc::Gen<Command> AnyCommand(const Mix& mix) {
  const auto event =
      rc::gen::weightedOneOf<Event>({{24, rc::gen::just(Event::kTick)},
                                     {14, rc::gen::elementOf(mix.events)}});
  return rc::gen::map(
      rc::gen::tuple(event, rc::gen::inRange(0U, DomainModel::kHosts),
                     rc::gen::inRange(0U, 4U)),
      [](const std::tuple<Event, std::uint32_t, std::uint32_t>& drawn) {
        return Command{std::get<0>(drawn), std::get<1>(drawn),
                       std::get<2>(drawn)};
      });
}

void Apply(DomainModel& model, const Command& command) {
  fakes::FakeTableStore& store = model.Store();
  switch (command.event) {
    case Event::kTick:
      return;
    case Event::kPause:
      // Often the platform takes it for gone, too.
      model.SetListed(command.host, command.number == 0);
      return model.SetPaused(command.host, true);
    case Event::kWake:
      return model.SetPaused(command.host, false);
    case Event::kRestart:
      return model.Restart(command.host);
    case Event::kUnlist:
      return model.SetListed(command.host, false);
    case Event::kList:
      return model.SetListed(command.host, true);
    case Event::kPlatformDown:
      return store.SetDown(true);
    case Event::kPlatformUp:
      return store.SetDown(false);
    case Event::kLoseAnswer:
      return store.FailNextCommits({fakes::CommitFault::kResponseLost});
    case Event::kDelayWrite:
      return store.FailNextCommits({fakes::CommitFault::kDelayed});
    case Event::kDeliverLate:
      return store.DeliverDelayedCommits();
    case Event::kDeclare:
      return model.Declare(2 + command.number);
    case Event::kLearn:
      return model.Learn(command.host);
    case Event::kHandOver:
      return model.HandOver(command.host, command.number);
  }
}

class SeatSharesProperty : public ::testing::TestWithParam<Mix> {};

// What the caller sees: a target with 3 slots is given a fourth request and
// answers late, or sheds. How: a holder is paused, its seat is taken, a loan or
// a handover arrives twice or late, a write lands after its answer was given
// up, a split changes, and two hosts end up using one unit. Here all of these
// happen in any order, and what runs at the target never passes its slots.
TEST_P(SeatSharesProperty, WorkAtTheTargetNeverPassesItsSlots) {
  DomainModel::Counts total;
  const bool holds = rc::check([&total](std::uint64_t seed) {
    const auto commands =
        *rc::gen::container<std::vector<Command>>(250, AnyCommand(GetParam()));
    // The same events four times, with other fates of the messages.
    for (std::uint64_t variant = 0; variant < 4; ++variant) {
      DomainModel model(seed + variant);
      for (const Command& command : commands) {
        Apply(model, command);
        model.Tick(std::chrono::milliseconds(300 * (1 + command.number)));
        RC_ASSERT(model.Running() <= DomainModel::kLimit);
      }
      total.dispatches += model.Seen().dispatches;
      total.on_loans += model.Seen().on_loans;
      total.takeovers += model.Seen().takeovers;
      total.doubts += model.Seen().doubts;
    }
  });
  EXPECT_TRUE(holds);
  // The property would hold for hosts that do nothing.
  EXPECT_GT(total.dispatches, 3000U);
  EXPECT_GT(total.on_loans, 300U);
  EXPECT_GT(total.takeovers, 200U);
  std::cout << "dispatches " << total.dispatches << ", on loans "
            << total.on_loans << ", seats taken " << total.takeovers
            << ", doubtful steps " << total.doubts << "\n";
}

INSTANTIATE_TEST_SUITE_P(
    Mixes,
    SeatSharesProperty,
    ::testing::Values(
        Mix{"Everything",
            {Event::kPause, Event::kWake, Event::kRestart, Event::kUnlist,
             Event::kList, Event::kPlatformDown, Event::kPlatformUp,
             Event::kLoseAnswer, Event::kDelayWrite, Event::kDeliverLate,
             Event::kDeclare, Event::kLearn, Event::kHandOver}},
        Mix{"Splits",
            {Event::kDeclare, Event::kLearn, Event::kLearn, Event::kLearn,
             Event::kLearn, Event::kRestart, Event::kLoseAnswer}},
        Mix{"Cut off",
            {Event::kPause, Event::kWake, Event::kWake, Event::kRestart,
             Event::kHandOver, Event::kHandOver, Event::kPlatformDown,
             Event::kPlatformUp, Event::kUnlist}}),
    [](const auto& instance) {
      std::string name = instance.param.name;
      std::erase(name, ' ');
      return name;
    });

}  // namespace
}  // namespace medlarcroft::testing
