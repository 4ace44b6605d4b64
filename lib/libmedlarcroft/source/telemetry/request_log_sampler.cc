#include "medlarcroft/telemetry/request_log_sampler.h"

#include <xxhash.h>

#include <array>
#include <cstddef>

namespace medlarcroft::telemetry {

namespace {

constexpr Duration kWindow = std::chrono::seconds(1);

struct OutcomeRule {
  std::string_view name;
  /// Requests with this outcome are sampled until so many have been sampled in
  /// the current second.
  std::uint32_t max_sampled = 0;
};

constexpr std::array<OutcomeRule, 4> kRules = {{
    {"served", 0},
    {"late", RequestLogSampler::kMaxAtEndPerSecond / 4},
    {"failed", RequestLogSampler::kMaxAtEndPerSecond / 2},
    {"order-failed", RequestLogSampler::kMaxAtEndPerSecond},
}};

const OutcomeRule& RuleOf(RequestOutcome outcome) {
  return kRules.at(static_cast<std::size_t>(outcome));
}

}  // namespace

std::string_view NameOf(RequestOutcome outcome) {
  return RuleOf(outcome).name;
}

// The sampled fraction follows from the number of requests in the previous
// second, so that the samples spread over the whole second; when the rate
// jumps, the count limits them.
void RequestLogSampler::Advance(MonotonicTime now) {
  if (now - window_start_ < kWindow) {
    return;
  }
  const bool is_next = now - window_start_ < 2 * kWindow;
  const std::uint32_t previous_count = is_next ? request_count_ : 0;
  max_sampled_hash_ =
      previous_count <= kMaxByIdPerSecond
          ? UINT64_MAX
          : UINT64_MAX / previous_count * std::uint64_t{kMaxByIdPerSecond};
  window_start_ = now;
  request_count_ = 0;
  sampled_by_id_ = 0;
  sampled_at_end_ = 0;
}

bool RequestLogSampler::SampleById(std::string_view id, MonotonicTime now) {
  Advance(now);
  ++request_count_;
  if (sampled_by_id_ >= kMaxByIdPerSecond ||
      XXH3_64bits(id.data(), id.size()) > max_sampled_hash_) {
    return false;
  }
  ++sampled_by_id_;
  return true;
}

bool RequestLogSampler::SampleAtEnd(RequestOutcome outcome, MonotonicTime now) {
  Advance(now);
  if (sampled_at_end_ >= RuleOf(outcome).max_sampled) {
    ++unsampled_count_;
    return false;
  }
  ++sampled_at_end_;
  return true;
}

}  // namespace medlarcroft::telemetry
