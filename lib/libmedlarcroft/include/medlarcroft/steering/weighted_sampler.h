#ifndef MEDLARCROFT_STEERING_WEIGHTED_SAMPLER_H_
#define MEDLARCROFT_STEERING_WEIGHTED_SAMPLER_H_

#include <cstddef>
#include <span>
#include <vector>

#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::steering {

/// @brief Draws indices at random by weight, each at most once.
class WeightedDraw {
 public:
  explicit WeightedDraw(ports::RandomSource& random) : random_(&random) {}

  /// @param running_weights sums of the weights up to each index; not empty
  /// unless `count` is 0, every weight above 0.
  /// @param count how many to draw, at most as many as there are weights.
  /// @return the indices in the order drawn; valid until the next call.
  [[nodiscard]] std::span<const std::size_t> Draw(
      std::span<const double> running_weights,
      std::size_t count);

 private:
  [[nodiscard]] bool IsDrawn(std::size_t index) const;
  [[nodiscard]] std::size_t DrawOne(std::span<const double> running_weights);

  ports::RandomSource* random_;
  std::vector<std::size_t> drawn_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_WEIGHTED_SAMPLER_H_
