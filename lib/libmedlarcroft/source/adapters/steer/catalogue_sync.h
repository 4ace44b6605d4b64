#ifndef MEDLARCROFT_ADAPTERS_STEER_CATALOGUE_SYNC_H_
#define MEDLARCROFT_ADAPTERS_STEER_CATALOGUE_SYNC_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "medlarcroft/catalogue/catalogue_replica.h"

namespace medlarcroft::adapters {

/// @brief Keeps the catalogue's replica up to date from peers: records a peer
/// that has a newer revision, and passes each new view to a callback.
/// Thread-safe.
class CatalogueSync {
 public:
  using ViewCallback = std::function<void(catalogue::SharedCatalogueView)>;

  /// @param on_view called with each newer view, after changes were applied.
  CatalogueSync(catalogue::CatalogueReplica& replica, ViewCallback on_view);

  /// @brief Records the catalogue revision that a peer reports.
  void RecordPeerRevision(std::uint64_t revision,
                          const std::string& peer_address);

  /// @return the address of a peer with a newer revision, or nullopt when none
  /// is known.
  [[nodiscard]] std::optional<std::string> NewerPeerAddress() const;

  /// @brief Clears the recorded peer after it failed to return changes, so that
  /// the next fetch uses another one.
  void ClearNewerPeer(const std::string& peer_address);

  void ApplyFromPeer(const catalogue::Delta& delta);

  /// @brief Passes the newest view to the callback unless that was done before.
  void Publish();

  [[nodiscard]] catalogue::Delta DeltaSince(std::uint64_t revision,
                                            std::size_t limit) const {
    return replica_.ChangesSince(revision, limit);
  }

 private:
  catalogue::CatalogueReplica& replica_;
  const ViewCallback on_view_;
  mutable std::mutex mutex_;
  std::uint64_t newer_revision_ = 0;
  std::string newer_peer_address_;
  std::uint64_t published_revision_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_CATALOGUE_SYNC_H_
