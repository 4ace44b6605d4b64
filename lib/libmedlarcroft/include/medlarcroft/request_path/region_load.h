#ifndef MEDLARCROFT_REQUEST_PATH_REGION_LOAD_H_
#define MEDLARCROFT_REQUEST_PATH_REGION_LOAD_H_

#include <map>
#include <optional>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief Mean load from other hosts on the targets of one service, by region,
/// according to the load reports of about the last second.
///
/// With many hosts and many targets, one host receives a report of a given
/// target only every few seconds. By such reports alone, the host would rely on
/// one from a time of low load and send to full queues; a region that it rarely
/// uses would appear empty and receive everything that its own region cannot
/// take. A report of any target is evidence of the load on the other targets of
/// its region.
class RegionLoad {
 public:
  void OnReport(const RegionName& region,
                double other_hosts_load,
                MonotonicTime now);

  /// @return nullopt before the first report of the region.
  [[nodiscard]] std::optional<double> MeanOf(const RegionName& region) const;
  /// @return whether a report of the region arrived within the last seconds.
  [[nodiscard]] bool IsRecent(const RegionName& region,
                              MonotonicTime now) const;

 private:
  struct Mean {
    double value = 0;
    MonotonicTime updated_at;
  };

  std::map<RegionName, Mean> means_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REGION_LOAD_H_
