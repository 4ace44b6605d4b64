#include "medlarcroft/quota/held_tokens.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::quota {

namespace {

// After a request has waited in vain, others are refused at once for this long
// unless a token arrives.
constexpr Duration kExhaustedTime = std::chrono::milliseconds(100);
// Interval at which tokens are asked for again while requests wait.
constexpr Duration kAskAgainDelay = std::chrono::milliseconds(20);
// Requests that may wait although no token has arrived recently.
constexpr double kMinWaiting = 4;
// Below this number of tokens it is better to ask when a request arrives: most
// tokens that were asked for in advance would expire.
constexpr double kMinTokensAhead = 0.7;
constexpr Duration kIdleTime = std::chrono::seconds(10);
// Slowest rate assumed for the next token, in tokens per second.
constexpr double kMinTokenRate = 0.5;

}  // namespace

AdmissionResult HeldTokens::Admit(MonotonicTime now) {
  arrivals_.Add(now);
  last_arrival_at_ = now;
  if (waiting_ == 0) {
    if (const auto valid_until = Take(now)) {
      return {.admission = Admission::kAdmitted,
              .token_valid_until = *valid_until};
    }
  }
  const double served_while_waiting =
      received_.PerSecond(now) * ToSeconds(kMaxTokenWait);
  if (now < exhausted_until_ ||
      waiting_ >= kMinWaiting + served_while_waiting) {
    return {.admission = Admission::kExhausted};
  }
  ++waiting_;
  return {.admission = Admission::kWaiting};
}

AdmissionResult HeldTokens::AdmitWaiting(MonotonicTime now) {
  if (const auto valid_until = Take(now)) {
    StopWaiting();
    return {.admission = Admission::kAdmitted,
            .token_valid_until = *valid_until};
  }
  return {.admission = Admission::kWaiting};
}

void HeldTokens::StopWaiting() {
  waiting_ -= std::min(waiting_, 1U);
}

void HeldTokens::Add(const TokenBatch& batch, MonotonicTime now) {
  if (batch.tokens == 0 || batch.valid_until <= now) {
    return;
  }
  received_.Add(now, batch.tokens);
  exhausted_until_ = {};
  Insert(batch);
}

void HeldTokens::GiveBack(MonotonicTime valid_until) {
  Insert({.tokens = 1, .valid_until = valid_until});
}

void HeldTokens::Insert(const TokenBatch& batch) {
  const auto later =
      std::ranges::find_if(batches_, [&](const TokenBatch& other) {
        return other.valid_until > batch.valid_until;
      });
  batches_.insert(later, batch);
}

void HeldTokens::OnWaitedInVain(MonotonicTime now) {
  StopWaiting();
  exhausted_until_ = now + kExhaustedTime;
}

std::uint32_t HeldTokens::Missing(Duration ahead, MonotonicTime now) {
  RemoveExpired(now);
  double held = 0;
  for (const TokenBatch& batch : batches_) {
    held += batch.tokens;
  }
  double needed = arrivals_.PerSecond(now) * ToSeconds(ahead);
  if (needed < kMinTokensAhead) {
    needed = 0;
  }
  return static_cast<std::uint32_t>(
      std::ceil(std::max(0.0, waiting_ + needed - held)));
}

Duration HeldTokens::TimeToToken(MonotonicTime now) const {
  const double rate = std::max(received_.PerSecond(now), kMinTokenRate);
  // The callers that were refused in the last second return as well.
  const double ahead = waiting_ + arrivals_.PerSecond(now);
  return FromSeconds(std::max(1.0, ahead) / rate);
}

bool HeldTokens::IsAskDue(MonotonicTime now) const {
  return waiting_ > 0 && now - asked_at_ >= kAskAgainDelay;
}

bool HeldTokens::IsIdle(MonotonicTime now) const {
  return waiting_ == 0 && now - last_arrival_at_ > kIdleTime;
}

void HeldTokens::RemoveExpired(MonotonicTime now) {
  std::erase_if(batches_, [now](const TokenBatch& batch) {
    return batch.valid_until <= now;
  });
}

std::optional<MonotonicTime> HeldTokens::Take(MonotonicTime now) {
  RemoveExpired(now);
  if (batches_.empty()) {
    return std::nullopt;
  }
  TokenBatch& batch = batches_.front();
  const MonotonicTime valid_until = batch.valid_until;
  if (--batch.tokens == 0) {
    batches_.erase(batches_.begin());
  }
  return valid_until;
}

}  // namespace medlarcroft::quota
