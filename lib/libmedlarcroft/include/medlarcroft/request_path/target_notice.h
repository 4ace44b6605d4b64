#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_NOTICE_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_NOTICE_H_

#include <algorithm>
#include <optional>

#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief What a target's response says about the target's process, whatever
/// became of the request.
struct TargetNotice {
  /// The target wants no requests from this host for this long; nullopt: it
  /// does not say so.
  std::optional<Duration> rest;
  /// The target is about to exit and wants no new requests.
  bool is_leaving = false;

  /// @brief Adds what a further response says: the longer rest counts.
  void Add(const TargetNotice& other) {
    rest = std::max(rest, other.rest);
    is_leaving = is_leaving || other.is_leaving;
  }
  [[nodiscard]] bool IsEmpty() const { return !rest && !is_leaving; }

  friend bool operator==(const TargetNotice&, const TargetNotice&) = default;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_NOTICE_H_
