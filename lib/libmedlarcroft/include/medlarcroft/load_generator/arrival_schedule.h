#ifndef MEDLARCROFT_LOAD_GENERATOR_ARRIVAL_SCHEDULE_H_
#define MEDLARCROFT_LOAD_GENERATOR_ARRIVAL_SCHEDULE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "medlarcroft/load_generator/load_plan.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::load_generator {

/// @brief The intended send time of one request, its class and its brand.
struct Arrival {
  Duration at{0};  ///< From the start of the run.
  std::size_t class_index = 0;
  std::size_t brand_index = 0;
};

/// @brief Draws the arrivals of a run from a Poisson process whose rate changes
/// during bursts. Arrivals depend only on the plan and the random source; slow
/// responses never delay them (open loop).
class ArrivalSchedule {
 public:
  /// @param plan must outlive the schedule and have a class and a brand.
  ArrivalSchedule(const LoadPlan& plan, ports::RandomSource& random);

  /// @return the next arrival in order of time, or nullopt at the end.
  [[nodiscard]] std::optional<Arrival> Next();

 private:
  [[nodiscard]] double RateAt(std::size_t class_index, Duration at) const;
  [[nodiscard]] std::size_t DrawBrand();

  const LoadPlan& plan_;
  ports::RandomSource& random_;
  std::vector<double> brand_weights_;
  double max_rate_ = 0;  ///< Upper bound for all classes together.
  Duration at_{0};
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_ARRIVAL_SCHEDULE_H_
