#ifndef MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_ENGINE_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_ENGINE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

#include "adapters/entry/attempt_result.h"
#include "adapters/entry/problem.h"
#include "adapters/entry/request_events.h"
#include "adapters/entry/request_parser.h"
#include "adapters/entry/routing_table.h"
#include "adapters/http/http_client.h"
#include "medlarcroft/decision/request_scheduler.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/ports/slot_source.h"

namespace medlarcroft::adapters {

/// @brief Final result of one request.
struct RequestResult {
  decision::RunState run_state = decision::RunState::kUnknown;
  HttpResponse response;
  /// The response is a target's complete answer, not a problem response of this
  /// host.
  bool is_target_answer = false;
};

using ResultCallback = std::function<void(RequestResult)>;

/// @brief One request submitted to the engine.
struct Submission {
  std::shared_ptr<const ServiceRequest> request;
  Duration time_left{0};
  bool is_shifted_in = false;
  ResultCallback done;  ///< Called once, possibly before `Submit` returns.
};

/// @brief Carries out the scheduler's decisions: sends attempts to targets,
/// reports their results, and runs the scheduler when its next action is due.
/// Safe to share between threads; callbacks run without a lock held.
class RequestEngine {
 public:
  struct Options {
    HostName host;
    std::uint64_t incarnation = 0;
    decision::SchedulerOptions scheduler;
  };

  struct Ports {
    HttpClient& client;
    const ports::Clock& clock;
    ports::RandomSource& random;  ///< Used only with the engine's lock held.
    RequestEvents& events;
    ports::SlotSource& slots;
  };

  RequestEngine(const Options& options, const Ports& ports);
  ~RequestEngine();
  RequestEngine(const RequestEngine&) = delete;
  RequestEngine& operator=(const RequestEngine&) = delete;

  void ApplyRoutes(SharedRoutingTable routes);
  /// @return the current routes, or nullptr before the first are applied.
  [[nodiscard]] SharedRoutingTable Routes() const;

  /// @return the request's ticket; its ID is 0 if the request was refused at
  /// once.
  decision::RequestTicket Submit(Submission submission);

  /// @brief Cancels the request of a caller that disconnected. `done` runs with
  /// what is known of the request: the listener and the ledger hold it until
  /// then, and a retry with the same idempotency key waits for it.
  /// @param is_kept_if_dispatched leaves a dispatched request running until its
  /// own end. Set it for non-idempotent requests, because a retry asks for the
  /// result.
  void Cancel(decision::RequestTicket ticket, bool is_kept_if_dispatched);

  /// @brief Ends all requests, since the process ends: each caller learns
  /// whether its request may have run. Returns once all are answered; must not
  /// be called from a callback.
  void EndAll();

  /// @brief Applies a target's own count of its outstanding requests, taken
  /// `age` ago.
  void OnTargetReport(const TargetName& target,
                      std::uint32_t outstanding,
                      Duration age);
  /// @brief The target announced that it is draining: it gets no new requests.
  void MarkLeaving(const TargetName& target);
  /// @brief The target, polled at `requested_at`, reported that it is not
  /// draining.
  void MarkStaying(const TargetName& target, MonotonicTime requested_at);

  /// @return whether the target does not rest. A target that leaves is polled,
  /// since it may say that it stays.
  [[nodiscard]] bool MayPoll(const TargetName& target) const;
  /// @return whether the target neither rests nor leaves.
  [[nodiscard]] bool MaySend(const TargetName& target) const;

  [[nodiscard]] std::size_t InFlight() const;
  [[nodiscard]] std::vector<ServiceLoad> Loads() const;
  [[nodiscard]] std::vector<decision::TargetObservationReport> Observations()
      const;
  [[nodiscard]] std::optional<decision::Explanation> Explain(
      const ServiceName& service) const;

 private:
  struct Attempt {
    HttpClient::RequestId client_id = 0;
    TargetName target;
    std::string address;
    MonotonicTime started;
    AttemptTrace trace;
  };

  struct InFlightRequest {
    std::shared_ptr<const ServiceRequest> request;
    /// Empty once the caller has its answer; a hedge may still be running.
    ResultCallback done;
    std::map<std::uint32_t, Attempt> attempts;
    bool was_answer_unusable = false;
    /// What the attempts that have ended prove.
    decision::RunState run_state = decision::RunState::kNotRun;
    /// Ended by `EndAll`, which waits for the end of the attempts.
    bool is_ending = false;
  };

  /// A callback to run once the lock is released.
  struct Reply {
    ResultCallback done;
    RequestResult result;
  };
  using Replies = std::vector<Reply>;

  static void RunCallbacks(Replies replies);

  void RunSchedulerLoop();
  void WakeSchedulerIfEarlier();

  void Send(const decision::Dispatch& dispatch);
  [[nodiscard]] ClientRequest MakeClientRequest(
      const ServiceRequest& request,
      const decision::Dispatch& dispatch,
      const Attempt& attempt,
      const ServiceRoute& route) const;
  void OnClientResult(decision::AttemptId attempt, ClientResult result);
  void ReportTargetState(const Attempt& attempt,
                         decision::AttemptId id,
                         const AttemptResult& result);
  void ApplyNextStep(decision::RequestTicket ticket,
                     const decision::NextStep& step,
                     const TargetName& target,
                     AttemptResult result,
                     Replies& replies);
  void FinishRefused(decision::RequestTicket ticket,
                     const decision::Refusal& refusal,
                     Replies& replies);
  void RunDueActions(Replies& replies);
  [[nodiscard]] std::vector<decision::RequestTicket> Unanswered() const;
  void StartEnding(decision::RequestTicket ticket, Replies& replies);
  /// @param result of an attempt that has ended of a request that is ending.
  /// @return whether the request is answered with that.
  bool OnEndingAttempt(decision::RequestTicket ticket,
                       const TargetName& target,
                       AttemptResult result,
                       Replies& replies);
  /// @brief Answers a request whose attempts have all ended without a response.
  static void AnswerEnded(InFlightRequest& in_flight, Replies& replies);
  static void AnswerWithProblem(InFlightRequest& in_flight,
                                ProblemCode code,
                                decision::RunState run_state,
                                Replies& replies);
  static void AnswerWithResponse(InFlightRequest& in_flight,
                                 const TargetName& target,
                                 AttemptResult result,
                                 Replies& replies);
  void CancelAttempts(const std::vector<decision::AttemptId>& attempts);
  /// Removes a request that is answered and has no running attempt.
  void EraseIfFinished(decision::RequestTicket ticket);
  [[nodiscard]] std::string FormatAttemptId(decision::AttemptId attempt) const;

  const Options options_;
  HttpClient& client_;
  const ports::Clock& clock_;
  RequestEvents& events_;

  mutable std::mutex mutex_;
  decision::RequestScheduler scheduler_;
  SharedRoutingTable routes_;
  std::unordered_map<std::uint64_t, InFlightRequest> in_flight_;

  /// Requests that `EndAll` has ended and whose callbacks have not run.
  std::size_t ending_ = 0;
  std::condition_variable all_ended_;

  std::condition_variable scheduler_wakeup_;
  std::optional<MonotonicTime> scheduler_sleeps_until_;
  bool is_stopping_ = false;
  std::thread scheduler_thread_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_ENGINE_H_
