#ifndef MEDLARCROFT_CORE_SERVICE_LOAD_H_
#define MEDLARCROFT_CORE_SERVICE_LOAD_H_

#include <cstdint>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft {

/// @brief The load of one service on one host.
struct ServiceLoad {
  ServiceName service;
  /// Requests of callers, without those shifted in from other failure domains.
  double demand_per_second = 0.0;
  std::uint32_t outstanding = 0;   ///< Requests now in flight at targets.
  std::uint32_t queued = 0;        ///< Requests now waiting for a slot.
  std::uint32_t usable_slots = 0;  ///< Slots of targets that accept work.
  double refused_per_second = 0.0;
  double shifted_in_per_second = 0.0;

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_SERVICE_LOAD_H_
