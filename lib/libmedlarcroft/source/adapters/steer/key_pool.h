#ifndef MEDLARCROFT_ADAPTERS_STEER_KEY_POOL_H_
#define MEDLARCROFT_ADAPTERS_STEER_KEY_POOL_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "medlarcroft/catalogue/entry.h"

namespace medlarcroft::adapters {

/// @brief Unused idempotency keys issued by this host's entryd. They are handed
/// out with look-up answers, so that a caller's first request needs no extra
/// round trip. Thread-safe.
class KeyPool {
 public:
  /// Keys of each kind; enough for the interval between two reports at 100
  /// look-ups a second. Callers request keys from entryd while it is empty.
  static constexpr std::size_t kCapacity = 64;

  /// Keys in one look-up answer: one for the request and a spare.
  static constexpr std::size_t kKeysPerAnswer = 2;

  /// @brief Adds keys up to the capacity. Keys of an earlier incarnation of
  /// entryd are dropped, since only their issuer may execute requests with
  /// them.
  void Add(std::int64_t incarnation,
           const std::vector<std::string>& local,
           const std::vector<std::string>& durable);

  /// @return up to `kKeysPerAnswer` keys, each handed out once.
  [[nodiscard]] std::vector<std::string> Take(catalogue::KeyMode mode);

  [[nodiscard]] std::int32_t WantedLocal() const;
  [[nodiscard]] std::int32_t WantedDurable() const;

 private:
  mutable std::mutex mutex_;
  std::int64_t incarnation_ = 0;
  std::deque<std::string> local_;
  std::deque<std::string> durable_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_KEY_POOL_H_
