#ifndef MEDLARCROFT_REQUEST_PATH_REGION_LOAD_H_
#define MEDLARCROFT_REQUEST_PATH_REGION_LOAD_H_

#include <map>
#include <optional>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief How much work of other hosts the targets of one service have, by
/// region, as the reports of the last second tell.
///
/// Load: many hosts and many targets, so that one host hears from a target only
/// every few seconds. Harm prevented: it believes in what the target told when
/// times were calm, and sends into full queues; a region that it rarely uses
/// looks empty to it and gets all that its own can't take. A report of any
/// target says something of the others beside it.
class RegionLoad {
 public:
  void OnReport(const RegionName& region, double others, MonotonicTime now);

  /// @return nullopt before the first report of the region.
  [[nodiscard]] std::optional<double> MeanOf(const RegionName& region) const;

 private:
  struct Mean {
    double value = 0;
    MonotonicTime noted_at;
  };

  std::map<RegionName, Mean> means_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REGION_LOAD_H_
