#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_RECORD_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_RECORD_H_

#include <cstdint>
#include <string>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/target_identity.h"

namespace medlarcroft::request_path {

/// @brief A target's registration, as published by the target.
struct TargetRecord {
  TargetName id;  ///< May stay the same after a restart.
  TargetIncarnation incarnation = kUnknownIncarnation;
  ServiceName service;
  std::string address;  ///< IP:port; may later be reused by another target.
  FailureDomainName domain;
  std::uint32_t slots = 1;
  bool is_leaving = false;
  Duration cold_remaining{0};  ///< At the time the record was written.

  [[nodiscard]] TargetIdentity Identity() const { return {id, incarnation}; }

  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_RECORD_H_
