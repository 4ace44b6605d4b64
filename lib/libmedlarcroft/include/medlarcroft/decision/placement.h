#ifndef MEDLARCROFT_DECISION_PLACEMENT_H_
#define MEDLARCROFT_DECISION_PLACEMENT_H_

#include <memory>
#include <span>

#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/service_config.h"
#include "medlarcroft/decision/target_table.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::decision {

/// @brief Weight of a target's latest load report: falls linearly from 1 when
/// fresh to 0 at an age of two seconds; 0 when there is no report.
[[nodiscard]] double ReportWeight(const TargetState& target, MonotonicTime now);

/// @brief Estimates the relative delay of a request that is sent to the target;
/// lower is better.
///
/// Targets differ in speed and in the load that other hosts send them, and
/// their load reports may be delayed, missing or wrong. Without this estimate,
/// requests are sent to targets where they have to wait. This host's own
/// outstanding requests count exactly. The load from other hosts is taken from
/// the report, weighted by its freshness; for the remainder, the other hosts
/// are assumed to use their slots to the same degree as this host. It is capped
/// at the number of slots that other hosts hold, which limits the effect of a
/// wrong report. The sum is multiplied by the target's measured latency
/// relative to the mean, clamped to between 1/4 and 4.
///
/// The score of a target that is recovering from load shedding is also divided
/// by the fraction of its share that is in use. Reducing the slots is not
/// enough: at least one slot stays usable, so a target with a low measured
/// latency could keep the best score and use up the retry budget with requests
/// that it sheds. The fraction halves with each shed request and can become
/// smaller than the latency factor can compensate for.
///
/// A target in the probing state is scored with its whole share and without its
/// latency factor. Its one usable slot and its latency from before the ejection
/// would otherwise make it look busier than any other target. Under light load
/// it would then never be chosen, and a recovered target would stay ejected
/// permanently. If the target has not recovered, the limit of one request at a
/// time keeps the damage small.
[[nodiscard]] double PlacementScore(const TargetState& target,
                                    double relative_latency,
                                    MonotonicTime now);

/// @brief Chooses one of the targets that have a free slot.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;

  /// @param available must not be empty.
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
