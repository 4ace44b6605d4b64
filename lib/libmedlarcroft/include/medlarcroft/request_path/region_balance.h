#ifndef MEDLARCROFT_REQUEST_PATH_REGION_BALANCE_H_
#define MEDLARCROFT_REQUEST_PATH_REGION_BALANCE_H_

#include <map>
#include <optional>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

/// @file
/// @brief Balances the utilization of regions by moving planned requests.
///
/// When a failure domain is evacuated, or demand rises in one region while it
/// falls in another, the targets of one region queue twice as many requests as
/// they have slots, and callers are refused, while another region is half idle.
/// The regions' utilization is known from load reports, so requests move before
/// a single one of them finds free slots elsewhere by chance.

namespace medlarcroft::request_path {

/// @brief Running and waiting requests per slot, by region. Regions without
/// recent load reports are absent.
using RegionUtilization = std::map<RegionName, double>;

/// @brief Bound on how much of a region's requests may change region between
/// consecutive windows.
struct ShiftLimit {
  double fraction = 0;  ///< 0: requests are not moved by utilization.
  Duration window = std::chrono::seconds(2);
};

/// @return the fraction of requests that may be moved per second. The rest of
/// the limit is left to chance, which changes the regions' shares from window
/// to window by more the fewer requests there are.
/// @param requests_per_window of the callers of one region.
[[nodiscard]] double MaxBalancingShift(const ShiftLimit& limit,
                                       double requests_per_window);

/// @brief Requests that should move from one region to another.
struct RegionTransfer {
  RegionName from;
  RegionName to;
  double urgency = 0;  ///< Fraction of the permitted rate, from 0 to 1.
};

/// @param shares planned for the callers of one region. A region without recent
/// load reports gets a small share, which brings reports; if it can't be
/// reached, no more than that share is lost.
/// @return nullopt when no region with planned requests is much more utilized
/// than another.
[[nodiscard]] std::optional<RegionTransfer> FindTransfer(
    const std::map<RegionName, double>& shares,
    const RegionUtilization& utilization);

/// @brief Exponentially decayed rate of events.
class DecayedRate {
 public:
  void OnEvent(MonotonicTime now);
  /// @return events per second, over about the last four seconds.
  [[nodiscard]] double PerSecond(MonotonicTime now) const;

 private:
  double count_ = 0;
  MonotonicTime updated_at_{};
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REGION_BALANCE_H_
