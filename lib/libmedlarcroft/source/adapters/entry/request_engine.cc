#include "adapters/entry/request_engine.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::adapters {

namespace {

/// Longest sleep of the scheduler thread. Only bounds the effect of a missed
/// wake-up; it is not a polling period.
constexpr Duration kMaxSchedulerSleep = std::chrono::seconds(1);

}  // namespace

RequestEngine::RequestEngine(const Options& options, const Ports& ports)
    : options_(options),
      client_(ports.client),
      clock_(ports.clock),
      events_(ports.events),
      scheduler_(options.scheduler, ports.random, ports.slots) {
  scheduler_thread_ = std::thread([this] { RunSchedulerLoop(); });
}

RequestEngine::~RequestEngine() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  scheduler_wakeup_.notify_all();
  scheduler_thread_.join();
}

void RequestEngine::ApplyRoutes(SharedRoutingTable routes) {
  Replies replies;
  {
    const std::lock_guard lock(mutex_);
    std::vector<decision::ServiceConfig> configs;
    configs.reserve(routes->services.size());
    for (const auto& [name, service] : routes->services) {
      configs.push_back(service.config);
    }
    scheduler_.Configure(configs, clock_.Now());
    routes_ = std::move(routes);
    RunDueActions(replies);
  }
  RunCallbacks(std::move(replies));
}

SharedRoutingTable RequestEngine::Routes() const {
  const std::lock_guard lock(mutex_);
  return routes_;
}

decision::RequestTicket RequestEngine::Submit(Submission submission) {
  Replies replies;
  decision::RequestTicket ticket;
  {
    const std::lock_guard lock(mutex_);
    const ServiceRequest& request = *submission.request;
    const decision::Admission admission =
        scheduler_.Submit({.service = request.service,
                           .brand = request.brand,
                           .time_left = submission.time_left,
                           .is_shifted_in = submission.is_shifted_in},
                          clock_.Now());

    if (const auto* refusal = std::get_if<decision::Refusal>(&admission)) {
      events_.OnRefused(request, *refusal);
      replies.push_back({std::move(submission.done),
                         {.run_state = refusal->run_state,
                          .response = MakeRefusal(*refusal)}});
    } else if (const auto* queued = std::get_if<decision::Queued>(&admission)) {
      ticket = queued->ticket;
      in_flight_[ticket.id] = {std::move(submission.request),
                               std::move(submission.done)};
    } else {
      const auto& dispatch = std::get<decision::Dispatch>(admission);
      ticket = dispatch.attempt.ticket;
      in_flight_[ticket.id] = {std::move(submission.request),
                               std::move(submission.done)};
      Send(dispatch);
    }
    WakeSchedulerIfEarlier();
  }
  RunCallbacks(std::move(replies));
  return ticket;
}

void RequestEngine::OnTargetReport(const TargetName& target,
                                   std::uint32_t outstanding,
                                   Duration age) {
  const std::lock_guard lock(mutex_);
  scheduler_.OnTargetReport(target, outstanding, age, clock_.Now());
}

void RequestEngine::MarkLeaving(const TargetName& target) {
  const std::lock_guard lock(mutex_);
  scheduler_.MarkLeaving(target, clock_.Now());
}

void RequestEngine::MarkStaying(const TargetName& target,
                                MonotonicTime requested_at) {
  const std::lock_guard lock(mutex_);
  scheduler_.MarkStaying(target, requested_at, clock_.Now());
  WakeSchedulerIfEarlier();
}

bool RequestEngine::MayPoll(const TargetName& target) const {
  const std::lock_guard lock(mutex_);
  return !scheduler_.IsResting(target, clock_.Now());
}

bool RequestEngine::MaySend(const TargetName& target) const {
  const std::lock_guard lock(mutex_);
  return scheduler_.MaySend(target, clock_.Now());
}

std::size_t RequestEngine::InFlight() const {
  const std::lock_guard lock(mutex_);
  return in_flight_.size();
}

std::vector<ServiceLoad> RequestEngine::Loads() const {
  const std::lock_guard lock(mutex_);
  return scheduler_.Loads(clock_.Now());
}

std::vector<decision::TargetObservationReport> RequestEngine::Observations()
    const {
  const std::lock_guard lock(mutex_);
  return scheduler_.Observations(clock_.Now());
}

std::optional<decision::Explanation> RequestEngine::Explain(
    const ServiceName& service) const {
  const std::lock_guard lock(mutex_);
  return scheduler_.Explain(service, clock_.Now());
}

void RequestEngine::RunCallbacks(Replies replies) {
  for (Reply& reply : replies) {
    reply.done(std::move(reply.result));
  }
}

void RequestEngine::RunSchedulerLoop() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    Replies replies;
    RunDueActions(replies);
    if (!replies.empty()) {
      lock.unlock();
      RunCallbacks(std::move(replies));
      lock.lock();
      continue;
    }

    const MonotonicTime now = clock_.Now();
    const MonotonicTime wake =
        std::min(scheduler_.NextWake().value_or(now + kMaxSchedulerSleep),
                 now + kMaxSchedulerSleep);
    scheduler_sleeps_until_ = wake;
    scheduler_wakeup_.wait_for(lock, std::max(Duration::zero(), wake - now));
    scheduler_sleeps_until_.reset();
  }
}

void RequestEngine::WakeSchedulerIfEarlier() {
  const auto wake = scheduler_.NextWake();
  if (wake && scheduler_sleeps_until_ && *wake < *scheduler_sleeps_until_) {
    scheduler_wakeup_.notify_one();
  }
}

void RequestEngine::RunDueActions(Replies& replies) {
  for (const TargetName& target : scheduler_.TakeEndedRests(clock_.Now())) {
    events_.OnRestEnded(target);
  }
  for (const decision::Action& action : scheduler_.Advance(clock_.Now())) {
    if (const auto* dispatch = std::get_if<decision::Dispatch>(&action)) {
      Send(*dispatch);
    } else {
      const auto& expiry = std::get<decision::Expiry>(action);
      FinishRefused(expiry.ticket, expiry.refusal, replies);
    }
  }
}

void RequestEngine::FinishRefused(decision::RequestTicket ticket,
                                  const decision::Refusal& refusal,
                                  Replies& replies) {
  InFlightRequest& in_flight = in_flight_.at(ticket.id);
  events_.OnRefused(*in_flight.request, refusal);
  const bool is_bad_answer = in_flight.was_answer_unusable &&
                             refusal.run_state != decision::RunState::kNotRun;
  RequestResult result{
      .run_state = refusal.run_state,
      .response = is_bad_answer ? MakeProblem(ProblemCode::kAnswerUnusable,
                                              refusal.run_state)
                                : MakeRefusal(refusal)};
  if (in_flight.done) {
    replies.push_back({std::move(in_flight.done), std::move(result)});
    in_flight.done = nullptr;
  }
  EraseIfFinished(ticket);
}

}  // namespace medlarcroft::adapters
