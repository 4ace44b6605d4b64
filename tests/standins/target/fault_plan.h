#ifndef MEDLARCROFT_TESTS_STANDINS_TARGET_FAULT_PLAN_H_
#define MEDLARCROFT_TESTS_STANDINS_TARGET_FAULT_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::standins {

/// @brief Faults that the target injects; none by default.
struct FaultPlan {
  Duration latency{0};     ///< Added to each service time.
  Duration cold_start{0};  ///< How long responses are slower at first.
  bool shed = false;       ///< Rejects every request as not run.
  Duration rest{0};        ///< Asked for with each rejection; zero: none.
  bool draining = false;   ///< Rejects new requests, finishes running ones.
  bool truncated_response = false;  ///< Sends half of each response body.
  bool silent_connections = false;  ///< Open connections stop responding.
  bool mismatched_response =
      false;               ///< Sends the response to the previous request.
  bool run_twice = false;  ///< Records each request as run twice.
  /// Outstanding requests that /load reports instead of the actual number.
  std::optional<std::uint32_t> false_load;
};

/// @brief Why a fault plan was rejected.
enum class FaultPlanError { kNotAnObject, kUnknownField, kWrongType };

/// @param json an object; the faults that it does not name are off.
[[nodiscard]] Result<FaultPlan, FaultPlanError> ParseFaultPlan(
    std::string_view json);

}  // namespace medlarcroft::standins

#endif  // MEDLARCROFT_TESTS_STANDINS_TARGET_FAULT_PLAN_H_
