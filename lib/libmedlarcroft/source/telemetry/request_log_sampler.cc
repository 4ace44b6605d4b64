#include "medlarcroft/telemetry/request_log_sampler.h"

#include <xxhash.h>

#include <array>
#include <cstddef>

namespace medlarcroft::telemetry {

namespace {

constexpr Duration kWindow = std::chrono::seconds(1);

struct OutcomeRule {
  std::string_view name;
  /// Logged for their end until so many of the second's are taken.
  std::uint32_t taken_until = 0;
};

constexpr std::array<OutcomeRule, 4> kRules = {{
    {"served", 0},
    {"late", RequestLogSampler::kAtEnd / 4},
    {"failed", RequestLogSampler::kAtEnd / 2},
    {"order-failed", RequestLogSampler::kAtEnd},
}};

const OutcomeRule& RuleOf(RequestOutcome outcome) {
  return kRules.at(static_cast<std::size_t>(outcome));
}

}  // namespace

std::string_view NameOf(RequestOutcome outcome) {
  return RuleOf(outcome).name;
}

// The share of requests follows the demand of the second before, so that those
// logged lie all over a second; where demand jumps, the count bounds them.
void RequestLogSampler::Advance(MonotonicTime now) {
  if (now - began_ < kWindow) {
    return;
  }
  const bool is_next = now - began_ < 2 * kWindow;
  const std::uint32_t before = is_next ? arrived_ : 0;
  chosen_below_ =
      before <= kById ? UINT64_MAX : UINT64_MAX / before * std::uint64_t{kById};
  began_ = now;
  arrived_ = 0;
  chosen_by_id_ = 0;
  chosen_at_end_ = 0;
}

bool RequestLogSampler::SampleById(std::string_view id, MonotonicTime now) {
  Advance(now);
  ++arrived_;
  if (chosen_by_id_ >= kById ||
      XXH3_64bits(id.data(), id.size()) > chosen_below_) {
    return false;
  }
  ++chosen_by_id_;
  return true;
}

bool RequestLogSampler::SampleAtEnd(RequestOutcome outcome, MonotonicTime now) {
  Advance(now);
  if (chosen_at_end_ >= RuleOf(outcome).taken_until) {
    ++left_out_;
    return false;
  }
  ++chosen_at_end_;
  return true;
}

}  // namespace medlarcroft::telemetry
