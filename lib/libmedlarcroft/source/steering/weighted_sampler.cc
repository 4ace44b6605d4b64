#include "medlarcroft/steering/weighted_sampler.h"

#include <algorithm>

namespace medlarcroft::steering {

namespace {

/// Draws until an index turns up that was not drawn yet.
constexpr int kMaxTries = 16;

}  // namespace

bool WeightedDraw::IsDrawn(std::size_t index) const {
  return std::find(drawn_.begin(), drawn_.end(), index) != drawn_.end();
}

std::size_t WeightedDraw::DrawOne(std::span<const double> running_weights) {
  // To draw again when an index was drawn already is the same as a draw among
  // the rest. The tries are bounded for the sake of a weight that leaves nearly
  // nothing to the others.
  for (int tries = 0; tries < kMaxTries; ++tries) {
    const double point = random_->NextUnit() * running_weights.back();
    const auto found =
        std::upper_bound(running_weights.begin(), running_weights.end(), point);
    const auto index =
        std::min(static_cast<std::size_t>(found - running_weights.begin()),
                 running_weights.size() - 1);
    if (!IsDrawn(index)) {
      return index;
    }
  }

  std::size_t index = 0;
  while (IsDrawn(index)) {
    ++index;
  }
  return index;
}

std::span<const std::size_t> WeightedDraw::Draw(
    std::span<const double> running_weights,
    std::size_t count) {
  drawn_.clear();
  while (drawn_.size() < count) {
    drawn_.push_back(DrawOne(running_weights));
  }
  return drawn_;
}

}  // namespace medlarcroft::steering
