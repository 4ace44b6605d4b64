#ifndef MEDLARCROFT_DECISION_REQUEST_TABLE_H_
#define MEDLARCROFT_DECISION_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/fair_queue.h"
#include "medlarcroft/decision/request.h"
#include "medlarcroft/decision/target_table.h"

namespace medlarcroft::decision {

struct AttemptState {
  AttemptId id;
  TargetIndex target = 0;
  MonotonicTime started_at;
  bool is_running = true;
};

/// @brief One request from its admission to the end of its last attempt.
struct RequestState {
  RequestTicket ticket;
  ServiceIndex service = 0;
  FairQueue::FlowIndex flow = 0;
  BrandName brand;
  MonotonicTime deadline;
  bool is_queued = false;
  /// The caller has been answered or has abandoned the request.
  bool is_answered = false;
  RunState run_state = RunState::kNotRun;
  /// When a queued request expires, or a running one is hedged.
  std::optional<MonotonicTime> timer;
  std::vector<AttemptState> attempts;

  [[nodiscard]] AttemptState* Find(AttemptId id);
  [[nodiscard]] std::vector<AttemptId> RunningAttempts() const;
};

/// @brief All current requests, with their timers in order.
class RequestTable {
 public:
  RequestState& Add(ServiceIndex service);
  [[nodiscard]] RequestState* Find(RequestTicket ticket);
  [[nodiscard]] const RequestState* Find(RequestTicket ticket) const;
  void Erase(RequestTicket ticket);

  void SetTimer(RequestState& request, MonotonicTime at);
  void ClearTimer(RequestState& request);
  /// Clears the earliest timer if it is due.
  /// @return its request; null if no timer is due.
  [[nodiscard]] RequestState* PopDue(MonotonicTime now);
  [[nodiscard]] std::optional<MonotonicTime> NextTimer() const;

  [[nodiscard]] std::size_t Size() const { return requests_.size(); }

  template <typename Visitor>
  void ForEach(Visitor&& visit) {
    for (auto& [id, request] : requests_)
      visit(request);
  }

 private:
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, RequestState> requests_;
  std::set<std::pair<MonotonicTime, std::uint64_t>> timers_;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_REQUEST_TABLE_H_
