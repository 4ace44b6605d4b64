// Emulation: targets that ask for rest or say that they leave.
#include "medlarcroft/emulation/emulation.h"

namespace medlarcroft::emulation {

namespace {

// Requests that are under way when the target answers still reach it.
constexpr Duration kSettleTime = std::chrono::milliseconds(500);
// A target gets no new requests later than this after it said that it leaves.
constexpr Duration kLeavingTime = std::chrono::milliseconds(2500);

}  // namespace

void Emulation::RecordUnwantedRequest(std::size_t target, std::size_t host) {
  const auto found = targets_[target].told_hosts.find(host);
  if (found == targets_[target].told_hosts.end()) {
    return;
  }
  ToldHost& told = found->second;
  const MonotonicTime now = events_.Now();
  if (now > told.rest_from + kSettleTime && now < told.rest_until) {
    metrics_.OnRequestInRest(++told.requests_in_rest);
  }
  if (told.leaving_at && now > *told.leaving_at + kLeavingTime) {
    metrics_.OnRequestAfterLeaving();
  }
}

void Emulation::TurnAway(const ActiveRequestPointer& active,
                         request_path::AttemptNumber attempt,
                         Duration latency) {
  const std::size_t target = active->attempts.at(attempt).target;
  const MonotonicTime now = events_.Now();
  ToldHost& told = targets_[target].told_hosts[active->host];
  if (now >= told.rest_until) {
    told.requests_in_rest = 0;
    told.rest_from = now;
  }
  told.rest_until = std::max(told.rest_until, now + *targets_[target].rest);
  events_.After(latency, [this, active, attempt, target,
                          rest = targets_[target].rest] {
    hosts_[active->host]->Path().OnNotice(targets_[target].record.Identity(),
                                          {.rest = rest}, "", events_.Now());
    EndAttempt(active, attempt, request_path::AttemptEnd::kNotRun);
  });
}

void Emulation::DeliverNotice(std::size_t target, std::size_t host) {
  TargetInstance& instance = targets_[target];
  if (!instance.says_leaving) {
    return;
  }
  ToldHost& told = instance.told_hosts[host];
  if (!told.leaving_at) {
    told.leaving_at = events_.Now();
  }
  hosts_[host]->Path().OnNotice(instance.record.Identity(),
                                {.is_leaving = true}, "", events_.Now());
}

}  // namespace medlarcroft::emulation
