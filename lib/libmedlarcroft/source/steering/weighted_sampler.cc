#include "medlarcroft/steering/weighted_sampler.h"

#include <algorithm>

namespace medlarcroft::steering {

namespace {

/// Maximum number of attempts to find an index that has not been sampled yet.
constexpr int kMaxAttempts = 16;

}  // namespace

bool WeightedSampler::IsSampled(std::size_t index) const {
  return std::find(sampled_.begin(), sampled_.end(), index) != sampled_.end();
}

std::size_t WeightedSampler::SampleOne(
    std::span<const double> cumulative_weights) {
  // Sampling again after a duplicate is equivalent to sampling among the
  // remaining indices. The attempts are bounded because one weight may leave
  // almost nothing to the others.
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const double point = random_->NextUnit() * cumulative_weights.back();
    const auto found = std::upper_bound(cumulative_weights.begin(),
                                        cumulative_weights.end(), point);
    const auto index =
        std::min(static_cast<std::size_t>(found - cumulative_weights.begin()),
                 cumulative_weights.size() - 1);
    if (!IsSampled(index)) {
      return index;
    }
  }

  std::size_t index = 0;
  while (IsSampled(index)) {
    ++index;
  }
  return index;
}

std::span<const std::size_t> WeightedSampler::Sample(
    std::span<const double> cumulative_weights,
    std::size_t count) {
  sampled_.clear();
  while (sampled_.size() < count) {
    sampled_.push_back(SampleOne(cumulative_weights));
  }
  return sampled_;
}

}  // namespace medlarcroft::steering
