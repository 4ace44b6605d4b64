#ifndef MEDLARCROFT_STEERING_SHIFT_PLAN_H_
#define MEDLARCROFT_STEERING_SHIFT_PLAN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::steering {

/// @brief Why a shift has its current rate.
enum class ShiftRule {
  kGrow,    ///< Forwarding is cheaper than home by more than the margin.
  kHold,    ///< Within the hysteresis band, or outside it too briefly.
  kReturn,  ///< Home has been cheaper again for the whole hold time.
  kDrain,   ///< The source is being drained.
  kCut,     ///< A limit fell below the rate, which was cut at once.
};

/// @brief The limit that stopped a shift from growing further, or that cut it.
enum class ShiftBound {
  kNone,
  kLinkCapacity,       ///< Requests per second of the link, over all services.
  kShiftStep,          ///< The link's growth in this window is used up.
  kReceiverHeadroom,   ///< The receiver's spare capacity is allocated.
  kReceiverStale,      ///< Same, reduced because its measurements are old.
  kReceiverCold,       ///< Same, reduced because its caches are cold.
  kReceiverUnusable,   ///< It is drained, has no live host or no slot, or
                       ///< shifts load away itself.
  kReceiverCongested,  ///< It queues or refuses requests: no growth.
  kLinkTooSlow,        ///< No answer could arrive within the deadline.
  kLinkMissing,        ///< The catalogue no longer has the link or the service.
  kSourceUnknown,      ///< The source's own measurements are missing or stale.
  kSourceDemand,       ///< The source has no more demand to shift.
};

[[nodiscard]] std::string_view ToString(ShiftRule rule);
[[nodiscard]] std::string_view ToString(ShiftBound bound);

/// @brief Inputs and limit behind one shift, for operators.
struct ShiftExplanation {
  ShiftRule rule = ShiftRule::kHold;
  ShiftBound bound = ShiftBound::kNone;
  double source_demand = 0.0;    ///< Requests per second.
  double source_capacity = 0.0;  ///< Requests per second with all slots busy.
  double source_cost = 0.0;      ///< Weighted cost of staying home; no unit.
  double receiver_spare = 0.0;  ///< Requests per second offered to all senders.
  double receiver_cost = 0.0;   ///< Weighted cost at the receiver, including
                                ///< the link.
  Duration receiver_age = Duration::zero();
  Duration link_latency = Duration::zero();  ///< One way.
};

/// @brief Part of one service's demand that one domain forwards to another.
struct PlannedShift {
  ServiceName service;
  FailureDomainName from;
  FailureDomainName to;
  double rate = 0.0;      ///< Requests per second.
  double fraction = 0.0;  ///< Of the source's demand, 0 to 1.
  ShiftExplanation why;
};

/// @brief Fraction of a drained domain's callers that look-ups direct to
/// another domain.
///
/// Callers move only once forwarding carries all of the domain's demand, so
/// that each moved caller replaces forwarded requests and adds no load to a
/// receiver.
struct CallerMove {
  ServiceName service;
  FailureDomainName from;
  FailureDomainName to;
  double fraction = 0.0;  ///< Of the callers of `from`, 0 to 1.
};

/// @brief The shifts in force after one planning step. A pair that is not
/// listed has the rate 0. A pair that should be shifted but is kept at 0 by a
/// bound is listed with the rate 0, so that operators see the reason.
struct ShiftPlan {
  std::uint64_t catalogue_revision = 0;
  std::vector<PlannedShift> shifts;  ///< Ordered by service, from, to.
  std::vector<CallerMove> moves;     ///< Ordered by service, from, to.

  /// @return the planned rate in requests per second; 0 if none.
  [[nodiscard]] double RateOf(const ServiceName& service,
                              const FailureDomainName& from,
                              const FailureDomainName& to) const;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_PLAN_H_
