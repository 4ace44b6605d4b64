#ifndef MEDLARCROFT_ADMISSION_RETURNING_CALLERS_H_
#define MEDLARCROFT_ADMISSION_RETURNING_CALLERS_H_

#include <string>
#include <unordered_map>

#include "medlarcroft/core/time.h"

namespace medlarcroft::admission {

/// @brief Recognizes requests of callers that have already waited.
///
/// A refused caller may return to any host, none of which knows of the refusal.
/// A caller that returns states a shorter time than callers of its route state
/// at first. On a route whose callers state different times, the less patient
/// ones count as returning.
class ReturningCallers {
 public:
  /// @param time_left for which the caller will still wait.
  /// @return whether the caller has waited for about the shortest Retry-After
  /// or longer.
  [[nodiscard]] bool OnRequest(const std::string& route, Duration time_left);

 private:
  std::unordered_map<std::string, double> recent_max_seconds_;
};

}  // namespace medlarcroft::admission

#endif  // MEDLARCROFT_ADMISSION_RETURNING_CALLERS_H_
