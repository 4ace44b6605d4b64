#ifndef MEDLARCROFT_IDEMPOTENCY_EXPIRY_INDEX_H_
#define MEDLARCROFT_IDEMPOTENCY_EXPIRY_INDEX_H_

#include <optional>
#include <set>
#include <utility>

#include "medlarcroft/core/time.h"
#include "medlarcroft/idempotency/key.h"

namespace medlarcroft::idempotency {

/// @brief Tracks which keys have expired and may be removed. Guards against
/// running a duplicate after the wall clock was set back: a removed key would
/// look valid again. Every key that expires no later than one already removed
/// therefore counts as expired, whatever the clock says. A clock set forward by
/// mistake affects at most the keys alive at that time, because the bound is
/// the expiry of a removed key, not the clock.
class ExpiryIndex {
 public:
  void Add(const Key& key) { ids_.emplace(key.expiry, key.id); }
  void Remove(const Key& key) { ids_.erase({key.expiry, key.id}); }

  [[nodiscard]] bool IsExpired(const Key& key, WallTime now) const {
    return key.expiry <= now || key.expiry <= removed_through_;
  }

  /// @brief Removes the next key that expired by `now`.
  /// @return its identifier, or nullopt.
  [[nodiscard]] std::optional<KeyId> TakeExpired(WallTime now) {
    if (ids_.empty() || ids_.begin()->first > now) {
      return std::nullopt;
    }
    auto node = ids_.extract(ids_.begin());
    removed_through_ = node.value().first;
    return std::move(node.value().second);
  }

 private:
  std::set<std::pair<WallTime, KeyId>> ids_;
  WallTime removed_through_{WallTime::min()};
};

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_EXPIRY_INDEX_H_
