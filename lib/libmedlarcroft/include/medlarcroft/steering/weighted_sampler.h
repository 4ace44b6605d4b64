#ifndef MEDLARCROFT_STEERING_WEIGHTED_SAMPLER_H_
#define MEDLARCROFT_STEERING_WEIGHTED_SAMPLER_H_

#include <cstddef>
#include <span>
#include <vector>

#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::steering {

/// @brief Samples indices randomly by weight, without replacement.
class WeightedSampler {
 public:
  explicit WeightedSampler(ports::RandomSource& random) : random_(&random) {}

  /// @param cumulative_weights sums of the weights up to each index; not empty
  /// unless `count` is 0, every weight above 0.
  /// @param count number of indices to sample, at most the number of weights.
  /// @return the indices in the order sampled; valid until the next call.
  [[nodiscard]] std::span<const std::size_t> Sample(
      std::span<const double> cumulative_weights,
      std::size_t count);

 private:
  [[nodiscard]] bool IsSampled(std::size_t index) const;
  [[nodiscard]] std::size_t SampleOne(
      std::span<const double> cumulative_weights);

  ports::RandomSource* random_;
  std::vector<std::size_t> sampled_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_WEIGHTED_SAMPLER_H_
