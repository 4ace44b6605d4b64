#ifndef MEDLARCROFT_TESTS_SCENARIOS_FIGURES_H_
#define MEDLARCROFT_TESTS_SCENARIOS_FIGURES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/request.h"

namespace medlarcroft::scenarios {

/// @brief Results of a service's callers after the warm-up.
struct ServiceFigures {
  std::string service;
  Duration deadline{};
  double capacity = 0;  ///< Requests that can be served in the measured time.
  std::uint64_t arrived = 0;
  std::uint64_t answered = 0;  ///< Complete responses, including late ones.
  std::uint64_t late = 0;
  std::uint64_t errors = 0;  ///< Responses that report a failure of the target.
  std::uint64_t unknown = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t returns = 0;  ///< Retries by callers after a refusal.
  std::uint64_t refused_again = 0;
  /// Retries by callers per 100 ms.
  std::map<std::int64_t, std::uint64_t> returns_by_tenth;
  std::map<decision::RefusalReason, std::uint64_t> refused;
  std::map<std::string, std::uint64_t> in_time_by_brand;
  std::map<std::string, std::uint64_t> arrived_by_brand;
  std::vector<Duration> latencies;

  [[nodiscard]] std::uint64_t InTime() const { return answered - late; }
  [[nodiscard]] double GoodputRatio() const;
  [[nodiscard]] double LateShare() const;
  [[nodiscard]] std::uint64_t PeakReturns() const;
  [[nodiscard]] Duration Quantile(double part) const;
};

/// @brief The figures of a run; the five counts must be 0 in every run.
struct RunFigures {
  std::vector<ServiceFigures> services;
  std::uint32_t peak_over_slots = 0;
  std::uint64_t double_runs = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t new_work_after_drain = 0;  ///< More than 3 s after.
  std::uint64_t unanswered = 0;
  /// From the time when a target starts to leave to the last work sent to it.
  Duration last_new_work{};
};

[[nodiscard]] std::string NameOf(decision::RefusalReason reason);

/// @return one line for each service, identical on each run.
[[nodiscard]] std::vector<std::string> ToLines(const std::string& run,
                                               const RunFigures& figures);

}  // namespace medlarcroft::scenarios

#endif  // MEDLARCROFT_TESTS_SCENARIOS_FIGURES_H_
