#ifndef MEDLARCROFT_REQUEST_PATH_SERVICE_TIMES_H_
#define MEDLARCROFT_REQUEST_PATH_SERVICE_TIMES_H_

#include <map>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief How far each region is, from the time that connections take.
class RegionDistances {
 public:
  explicit RegionDistances(RegionName own_region)
      : own_region_(std::move(own_region)) {}

  void OnConnected(const RegionName& region, Duration round_trip);
  [[nodiscard]] Duration RoundTrip(const RegionName& region) const;

 private:
  RegionName own_region_;
  std::map<RegionName, Duration> measured_;
};

/// @brief How long a service's targets work on a request, with and without
/// having the object, as measured from answers; before any, guessed from the
/// latency objective.
class ServiceTimes {
 public:
  explicit ServiceTimes(Duration latency_objective);

  void OnWork(bool was_warm, Duration work);

  [[nodiscard]] Duration Work(bool is_warm) const;
  /// @return whether work of that length was rather done with the object than
  /// without: it may have come there through another host.
  [[nodiscard]] bool LooksWarm(Duration work) const;
  /// @return of the requests that come, by the mix seen lately.
  [[nodiscard]] Duration MeanWork() const;

 private:
  double cold_seconds_;
  double warm_seconds_;
  double mean_seconds_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_SERVICE_TIMES_H_
