#include "medlarcroft/decision/request_table.h"

#include <algorithm>

namespace medlarcroft::decision {

AttemptState* RequestState::Find(AttemptId id) {
  const auto found = std::ranges::find(attempts, id, &AttemptState::id);
  return found == attempts.end() ? nullptr : &*found;
}

std::vector<AttemptId> RequestState::RunningAttempts() const {
  std::vector<AttemptId> running;
  for (const AttemptState& attempt : attempts) {
    if (attempt.is_running)
      running.push_back(attempt.id);
  }
  return running;
}

RequestState& RequestTable::Add(ServiceIndex service) {
  const std::uint64_t id = ++last_id_;
  RequestState& request = requests_[id];
  request.ticket = {.id = id};
  request.service = service;
  return request;
}

RequestState* RequestTable::Find(RequestTicket ticket) {
  const auto found = requests_.find(ticket.id);
  return found == requests_.end() ? nullptr : &found->second;
}

const RequestState* RequestTable::Find(RequestTicket ticket) const {
  const auto found = requests_.find(ticket.id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::Erase(RequestTicket ticket) {
  const auto found = requests_.find(ticket.id);
  if (found == requests_.end())
    return;

  ClearTimer(found->second);
  requests_.erase(found);
}

void RequestTable::SetTimer(RequestState& request, MonotonicTime at) {
  ClearTimer(request);
  request.timer = at;
  timers_.emplace(at, request.ticket.id);
}

void RequestTable::ClearTimer(RequestState& request) {
  if (!request.timer)
    return;

  timers_.erase({*request.timer, request.ticket.id});
  request.timer.reset();
}

RequestState* RequestTable::PopDue(MonotonicTime now) {
  if (timers_.empty() || timers_.begin()->first > now)
    return nullptr;

  RequestState& request = requests_.at(timers_.begin()->second);
  ClearTimer(request);
  return &request;
}

std::optional<MonotonicTime> RequestTable::NextTimer() const {
  if (timers_.empty())
    return std::nullopt;
  return timers_.begin()->first;
}

}  // namespace medlarcroft::decision
