// RequestPath: requests while this host stops as planned.
#include <algorithm>

#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {

namespace {

// A request is taken if the longest of the recent sends of its route, longer by
// this factor, ends in time: the next one may take longer than any before.
constexpr double kLongestSendFactor = 1.25;

}  // namespace

void RequestPath::AnswerBy(MonotonicTime due) {
  answers_due_ = due;
  for (auto& [ticket, request] : requests_) {
    request.deadline = std::min(request.deadline, due);
  }
}

// Made for requests that arrive while callers still hold look-up answers that
// name this host. Guards against requests that run and get no answer, or only
// that they may have run, since the process ends before their targets are done.
// Other hosts have all the time that such a request needs, so it is refused at
// once, before it is sent. One that usually ends in time is still served.
std::optional<RequestFailure> RequestPath::CheckStop(const RequestStart& start,
                                                     MonotonicTime now) const {
  if (!answers_due_ || now + start.time_left <= *answers_due_) {
    return std::nullopt;
  }
  const auto longest = LongestSend(start, now);
  if (longest && now + FromSeconds(kLongestSendFactor * ToSeconds(*longest)) <=
                     *answers_due_) {
    return std::nullopt;
  }
  return RequestFailure{.reason = FailureReason::kHostDraining,
                        .retry_after = kRetryAfterWhenLeaving};
}

std::optional<Duration> RequestPath::LongestSend(const RequestStart& start,
                                                 MonotonicTime now) const {
  const auto known = longest_sends_.find({start.service, start.route->name});
  std::optional<Duration> longest;
  if (known != longest_sends_.end()) {
    longest = known->second.Longest(now);
  }
  if (!longest) {
    return std::nullopt;
  }
  for (const auto& [ticket, request] : requests_) {
    if (request.route->name != start.route->name) {
      continue;
    }
    for (const Attempt& attempt : request.attempts) {
      if (attempt.is_open) {
        longest = std::max(*longest, now - attempt.sent_at);
      }
    }
  }
  return longest;
}

}  // namespace medlarcroft::request_path
