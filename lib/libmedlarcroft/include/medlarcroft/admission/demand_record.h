#ifndef MEDLARCROFT_ADMISSION_DEMAND_RECORD_H_
#define MEDLARCROFT_ADMISSION_DEMAND_RECORD_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::admission {

/// @brief Requests that were offered and admitted, over about the last five
/// seconds.
class DemandRecord {
 public:
  void OnDecision(bool is_admitted, MonotonicTime now);

  [[nodiscard]] double Offered(MonotonicTime now) const;
  /// @return the fraction that was admitted; 1 without any request.
  [[nodiscard]] double AdmittedShare() const;
  /// @return admitted requests per second.
  [[nodiscard]] double AdmittedPerSecond(MonotonicTime now) const;

 private:
  [[nodiscard]] double DecayAt(MonotonicTime now) const;

  double offered_ = 0;
  double admitted_ = 0;
  MonotonicTime updated_at_{};
};

}  // namespace medlarcroft::admission

#endif  // MEDLARCROFT_ADMISSION_DEMAND_RECORD_H_
