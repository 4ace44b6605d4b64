// Makes random calls in random order on a RequestScheduler and checks its
// guarantees after each: no target exceeds this host's share or is used after
// its lease, a non-idempotent request runs at most once, "not run" is reported
// only when it did not run, and every request gets an answer.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/decision/request_scheduler.h"

namespace medlarcroft::decision {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kTargets = 4;

/// The attempts and possible runs of one request that has no final answer yet.
struct TrackedRequest {
  std::set<AttemptId> running;
  int possible_runs = 0;
};

/// Calls the scheduler and keeps an independent record of requests and
/// attempts.
class SchedulerHarness {
 public:
  SchedulerHarness(bool is_idempotent, std::uint64_t seed)
      : is_idempotent_(is_idempotent), random_(seed), scheduler_({}, random_) {}

  void Configure() {
    ServiceConfig config{
        .service = ServiceName("s"),
        .request_class = {.key_mode = is_idempotent_
                                          ? catalogue::KeyMode::kNone
                                          : catalogue::KeyMode::kLocal,
                          .deadline = milliseconds(300),
                          .queue_limit = milliseconds(50),
                          .may_hedge = true,
                          .expected_service_time = milliseconds(10)},
        .brands = {{.brand = BrandName("a"), .weight = 2.0}}};
    limits_.clear();
    for (std::size_t i = 0; i < kTargets; ++i) {
      const TargetName name("t" + std::to_string(i));
      const auto share = *rc::gen::inRange<std::uint32_t>(0, 4);
      const MonotonicTime lease =
          clock_.Now() + milliseconds(*rc::gen::inRange(0, 200));
      const bool is_leaving =
          *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
      config.targets.push_back({.name = name,
                                .slots = 3,
                                .share = share,
                                .is_leaving = is_leaving,
                                .share_lease_until = lease});
      limits_[name] = {.share = is_leaving ? 0 : share, .lease = lease};
    }
    scheduler_.Configure(std::vector{config}, clock_.Now());
  }

  void Submit() {
    const Admission admission = scheduler_.Submit(
        {.service = ServiceName("s"),
         .brand = BrandName(*rc::gen::element<std::string>("a", "b")),
         .time_left = milliseconds(*rc::gen::inRange(1, 400))},
        clock_.Now());
    if (const auto* dispatch = std::get_if<Dispatch>(&admission)) {
      OnDispatch(*dispatch);
    } else if (const auto* queued = std::get_if<Queued>(&admission)) {
      requests_[queued->ticket];
    } else {
      RC_ASSERT(std::get<Refusal>(admission).run_state == RunState::kNotRun);
    }
  }

  void EndRandomAttempt() {
    if (attempts_.empty())
      return;
    const auto chosen = std::next(attempts_.begin(),
                                  *rc::gen::inRange<int>(0, attempts_.size()));
    const AttemptId id = chosen->first;
    const auto [target, deadline] = chosen->second;
    const auto outcome = static_cast<AttemptOutcome>(*rc::gen::inRange(0, 10));
    attempts_by_target_[target].erase(id);
    // A target that may not have received the cancellation may work until the
    // deadline.
    if (RulesFor(outcome).release == SlotRelease::kAfterDeadline) {
      possibly_running_until_[target].push_back(deadline);
    }
    attempts_.erase(chosen);

    const NextStep step = scheduler_.OnAttemptEnd(id, outcome, clock_.Now());
    const auto tracked = requests_.find(id.ticket);
    if (tracked == requests_.end()) {
      RC_ASSERT(std::holds_alternative<AwaitOtherAttempt>(step));
      return;
    }
    TrackedRequest& request = tracked->second;
    request.running.erase(id);
    if (RulesFor(outcome).run_state != RunState::kNotRun) {
      ++request.possible_runs;
    }
    ApplyNextStep(id.ticket, step);
  }

  void CancelOldestRequest() {
    if (requests_.empty())
      return;
    const RequestTicket ticket = requests_.begin()->first;
    const std::vector<AttemptId> running =
        scheduler_.Cancel(ticket, clock_.Now());
    RC_ASSERT(std::set<AttemptId>(running.begin(), running.end()) ==
              requests_.begin()->second.running);
    requests_.erase(requests_.begin());
  }

  void Advance() {
    clock_.Advance(milliseconds(*rc::gen::inRange(0, 40)));
    for (const Action& action : scheduler_.Advance(clock_.Now())) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        OnDispatch(*dispatch);
        continue;
      }
      const auto& expiry = std::get<Expiry>(action);
      const auto tracked = requests_.find(expiry.ticket);
      RC_ASSERT(tracked != requests_.end());
      CheckReportedRunState(tracked->second, expiry.refusal);
      requests_.erase(tracked);
    }
    RC_ASSERT(scheduler_.NextWake().value_or(MonotonicTime::max()) >
              clock_.Now());
  }

  /// Advances the clock without running timers, as when the process is stopped.
  void Pause() { clock_.Advance(milliseconds(*rc::gen::inRange(0, 100))); }

  void MarkLeaving() {
    const TargetName name("t" + std::to_string(*rc::gen::inRange(0, 4)));
    scheduler_.MarkLeaving(name, clock_.Now());
    limits_[name].share = 0;
  }

  /// Advances past every time limit without ending any attempt: every request
  /// that is still queued must expire.
  void ExpectNoRequestIsForgotten() {
    clock_.Advance(std::chrono::seconds(1));
    Advance();
    for (const auto& [ticket, request] : requests_) {
      RC_ASSERT(!request.running.empty());
    }
  }

 private:
  struct Limit {
    std::uint32_t share = 0;
    MonotonicTime lease;
  };

  void OnDispatch(const Dispatch& dispatch) {
    const Limit& limit = limits_.at(dispatch.target);
    RC_ASSERT(clock_.Now() < limit.lease);
    std::vector<MonotonicTime>& possibly_running_until =
        possibly_running_until_[dispatch.target];
    std::erase_if(possibly_running_until, [&](MonotonicTime deadline) {
      return deadline <= clock_.Now();
    });
    std::set<AttemptId>& attempts = attempts_by_target_[dispatch.target];
    attempts.insert(dispatch.attempt);
    RC_ASSERT(attempts.size() + possibly_running_until.size() <= limit.share);
    attempts_.emplace(dispatch.attempt,
                      std::pair(dispatch.target, dispatch.deadline));

    TrackedRequest& request = requests_[dispatch.attempt.ticket];
    RC_ASSERT(is_idempotent_ || request.running.empty());
    RC_ASSERT(is_idempotent_ || request.possible_runs == 0);
    request.running.insert(dispatch.attempt);
  }

  void ApplyNextStep(RequestTicket ticket, const NextStep& step) {
    TrackedRequest& request = requests_.at(ticket);
    if (const auto* dispatch = std::get_if<Dispatch>(&step)) {
      OnDispatch(*dispatch);
    } else if (const auto* refusal = std::get_if<Refusal>(&step)) {
      RC_ASSERT(request.running.empty());
      CheckReportedRunState(request, *refusal);
      requests_.erase(ticket);
    } else if (const auto* finished = std::get_if<Finished>(&step)) {
      const std::set<AttemptId> to_cancel(finished->to_cancel.begin(),
                                          finished->to_cancel.end());
      RC_ASSERT(to_cancel == request.running);
      requests_.erase(ticket);
    }
  }

  void CheckReportedRunState(const TrackedRequest& request,
                             const Refusal& refusal) {
    RC_ASSERT(refusal.run_state != RunState::kNotRun ||
              request.possible_runs == 0);
    const bool is_in_doubt = refusal.run_state != RunState::kNotRun;
    RC_ASSERT(is_idempotent_ || !is_in_doubt ||
              refusal.retry_after == Duration(0));
  }

  bool is_idempotent_;
  fakes::ManualClock clock_;
  fakes::SeededRandom random_;
  RequestScheduler scheduler_;
  std::map<TargetName, Limit> limits_;
  std::map<TargetName, std::set<AttemptId>> attempts_by_target_;
  /// Deadlines of attempts that have ended on this host but may still be
  /// running on the target.
  std::map<TargetName, std::vector<MonotonicTime>> possibly_running_until_;
  std::map<AttemptId, std::pair<TargetName, MonotonicTime>> attempts_;
  std::map<RequestTicket, TrackedRequest> requests_;
};

void RunRandomCalls(bool is_idempotent) {
  SchedulerHarness harness(is_idempotent, *rc::gen::arbitrary<std::uint64_t>());
  harness.Configure();
  const int calls = *rc::gen::inRange(0, 120);
  for (int i = 0; i < calls; ++i) {
    switch (*rc::gen::weightedElement<int>(
        {{8, 0}, {8, 1}, {1, 2}, {6, 3}, {1, 4}, {2, 5}})) {
      case 0:
        harness.Submit();
        break;
      case 1:
        harness.EndRandomAttempt();
        break;
      case 2:
        harness.CancelOldestRequest();
        break;
      case 3:
        harness.Advance();
        break;
      case 4:
        harness.Pause();
        break;
      default:
        harness.MarkLeaving();
        break;
    }
  }
  harness.ExpectNoRequestIsForgotten();
}

TEST(DecisionProperty, KeepsGuaranteesForNonIdempotentRequests) {
  EXPECT_TRUE(rc::check([] { RunRandomCalls(/*is_idempotent=*/false); }));
}

TEST(DecisionProperty, KeepsGuaranteesForIdempotentRequests) {
  EXPECT_TRUE(rc::check([] { RunRandomCalls(/*is_idempotent=*/true); }));
}

TEST(DecisionProperty, BackloggedBrandsAreServedByWeight) {
  EXPECT_TRUE(rc::check([] {
    const auto first = *rc::gen::inRange(1, 10);
    const auto second = *rc::gen::inRange(1, 10);
    FairQueue queue(/*is_fair=*/true);
    queue.Configure(std::vector<catalogue::BrandShare>{
        {.brand = BrandName("a"), .weight = static_cast<double>(first)},
        {.brand = BrandName("b"), .weight = static_cast<double>(second)}});
    for (std::uint64_t id = 0; id < 2000; ++id) {
      queue.Push(static_cast<FairQueue::FlowIndex>(id % 2), {.id = id});
    }

    int served_first = 0;
    for (int i = 0; i < 500; ++i) {
      if (queue.Pop()->id % 2 == 0)
        ++served_first;
    }

    const double fair = 500.0 * first / (first + second);
    RC_ASSERT(served_first >= fair - 10);
    RC_ASSERT(served_first <= fair + 10);
  }));
}

}  // namespace
}  // namespace medlarcroft::decision
