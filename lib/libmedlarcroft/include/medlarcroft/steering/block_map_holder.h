#ifndef MEDLARCROFT_STEERING_BLOCK_MAP_HOLDER_H_
#define MEDLARCROFT_STEERING_BLOCK_MAP_HOLDER_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include "medlarcroft/core/result.h"
#include "medlarcroft/steering/block_map.h"
#include "medlarcroft/steering/block_map_codec.h"

namespace medlarcroft::steering {

/// @brief The block map in use; replaced as a whole.
///
/// The head row in the platform's table names the newest version, but reads of
/// it may be stale, and two objects may be fetched concurrently. Whatever order
/// they arrive in, an older map never replaces a newer one. Thread-safe.
class BlockMapHolder {
 public:
  using Shared = std::shared_ptr<const BlockMap>;

  BlockMapHolder() : current_(std::make_shared<const BlockMap>()) {}

  /// @return the map in use; before the first one, an empty map of version 0.
  [[nodiscard]] Shared Current() const { return current_.load(); }

  /// @brief Puts a full map into use.
  /// @return `BlockMapError::kNotNewer` if its version is not above the current
  /// one.
  [[nodiscard]] Result<Success, BlockMapError> Adopt(BlockMap map) {
    const std::scoped_lock lock(writer_);
    if (map.Version() <= Current()->Version()) {
      return BlockMapError::kNotNewer;
    }

    current_.store(std::make_shared<const BlockMap>(std::move(map)));
    return Success{};
  }

 private:
  std::mutex writer_;  // Held from the version check to the store.
  std::atomic<Shared> current_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_BLOCK_MAP_HOLDER_H_
