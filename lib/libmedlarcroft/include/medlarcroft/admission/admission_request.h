#ifndef MEDLARCROFT_ADMISSION_ADMISSION_REQUEST_H_
#define MEDLARCROFT_ADMISSION_ADMISSION_REQUEST_H_

#include <compare>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::admission {

/// @brief Urgency of a request; the least value is the most urgent.
struct PriorityLevel {
  /// The client account's priority, or the route's if the account has none.
  int priority = 0;
  int route_priority = 0;  ///< Orders requests of equal `priority`.

  friend auto operator<=>(const PriorityLevel&, const PriorityLevel&) = default;
};

/// @brief What an admission decision needs to know of a request.
struct AdmissionRequest {
  PriorityLevel level;
  /// Longest wait in a target's queue after which the response is not late.
  Duration useful_wait{0};
  ClientAccountName account;  ///< Empty: none.
  /// The account's quota in requests per second; 0: unlimited.
  double quota = 0;
  /// Whether the caller has already waited, probably after a refusal.
  bool is_returning = false;
};

}  // namespace medlarcroft::admission

#endif  // MEDLARCROFT_ADMISSION_ADMISSION_REQUEST_H_
