#ifndef MEDLARCROFT_ADAPTERS_STEER_CATALOGUE_SYNC_H_
#define MEDLARCROFT_ADAPTERS_STEER_CATALOGUE_SYNC_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "medlarcroft/catalogue/catalogue_replica.h"

namespace medlarcroft::adapters {

/// @brief Joins the catalogue's replica with the peers that feed it: remembers
/// who is ahead, and hands each new view on. Safe to share between threads.
class CatalogueAgent {
 public:
  using ViewCallback = std::function<void(catalogue::SharedCatalogueView)>;

  /// @param on_view called with each view after a change was applied.
  CatalogueAgent(catalogue::CatalogueReplica& replica, ViewCallback on_view);

  /// @brief A peer says at which revision it is.
  void NoteRevision(std::uint64_t revision, const std::string& peer_address);

  /// @return a peer that is further than this host, if one is known.
  [[nodiscard]] std::optional<std::string> AddressOfPeerAhead() const;

  /// @brief The peer did not deliver; another one is asked next.
  void ForgetPeerAhead(const std::string& peer_address);

  void ApplyFromPeer(const catalogue::Delta& delta);

  /// @brief Hands the newest view on if it is new.
  void Publish();

  [[nodiscard]] catalogue::Delta DeltaSince(std::uint64_t revision,
                                            std::size_t limit) const {
    return replica_.ChangesSince(revision, limit);
  }

 private:
  catalogue::CatalogueReplica& replica_;
  const ViewCallback on_view_;
  mutable std::mutex mutex_;
  std::uint64_t revision_ahead_ = 0;
  std::string peer_ahead_;
  std::uint64_t published_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_CATALOGUE_SYNC_H_
