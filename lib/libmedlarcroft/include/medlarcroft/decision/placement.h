#ifndef MEDLARCROFT_DECISION_PLACEMENT_H_
#define MEDLARCROFT_DECISION_PLACEMENT_H_

#include <memory>
#include <span>

#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/service_config.h"
#include "medlarcroft/decision/target_table.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::decision {

/// @brief How much a report still counts: 1 when fresh, 0 at two seconds or
/// when there was none.
[[nodiscard]] double ReportWeight(const TargetState& target, MonotonicTime now);

/// @brief How late a request would be served by the target; lower is better.
///
/// Load: targets that differ in speed and in what other hosts send them, with
/// load reports that lag, stop or lie. Harm prevented: work goes where it
/// waits. Own outstanding work counts exactly. Other hosts' work is taken from
/// the report as far as that is fresh, and otherwise assumed to be like our
/// own; it never counts for more than the slots that others hold, so a report
/// that is wrong can mislead only that far. The sum is weighed by the target's
/// own measured latency, within a quarter and four times the mean.
///
/// The score of a target that recovers from sheds is also divided by the part
/// of its share in use. Fewer slots alone are not enough: at least one stays
/// usable, so a target with a low measured latency could keep the best score
/// and spend the retry budget on requests that it sheds. The part halves with
/// each shed and can fall below what the latency factor can offset.
///
/// A target that is probed is otherwise scored as if it were well, with its
/// whole share.
/// Failure: with its one usable slot and its old latency it looks busier than
/// any other target. Symptom: under light load it is never chosen, so a target
/// that has recovered stays out for good. One request at a time bounds the harm
/// when it has not.
[[nodiscard]] double PlacementScore(const TargetState& target,
                                    double relative_latency,
                                    MonotonicTime now);

/// @brief Chooses one of the targets that have a free slot.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  /// @param available not empty.
  [[nodiscard]] virtual TargetIndex Choose(
      std::span<const TargetIndex> available,
      const TargetTable& targets,
      MonotonicTime now,
      ports::RandomSource& random) = 0;
};

[[nodiscard]] std::unique_ptr<PlacementStrategy> MakePlacementStrategy(
    PlacementKind kind);

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_PLACEMENT_H_
