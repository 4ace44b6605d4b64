#ifndef MEDLARCROFT_REQUEST_PATH_SERVICE_TIMES_H_
#define MEDLARCROFT_REQUEST_PATH_SERVICE_TIMES_H_

#include <map>
#include <optional>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief Round trip times to the regions, measured when connections are
/// established.
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

/// @brief Processing times of a service's targets for warm and cold objects,
/// measured from responses. Initially estimated from the latency objective.
class ServiceTimes {
 public:
  explicit ServiceTimes(Duration latency_objective);

  void OnWork(bool was_warm, Duration work);

  [[nodiscard]] Duration Work(bool is_warm) const;
  /// @return whether a processing time is more typical of a warm than of a cold
  /// object. The object may have become warm through another host's requests.
  [[nodiscard]] bool LooksWarm(Duration work) const;
  /// @return the mean over recent requests, warm and cold.
  [[nodiscard]] Duration MeanWork() const;

 private:
  double cold_seconds_;
  double warm_seconds_;
  double mean_seconds_;
};

/// @brief The longest time that a send took lately.
class RecentLongest {
 public:
  void OnTook(Duration duration, MonotonicTime now);
  /// @return nullopt: none was observed lately.
  [[nodiscard]] std::optional<Duration> Longest(MonotonicTime now) const;

 private:
  /// @brief What was observed in one period.
  struct Period {
    MonotonicTime begin;
    std::optional<Duration> longest;
  };

  Period current_;
  Period previous_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_SERVICE_TIMES_H_
