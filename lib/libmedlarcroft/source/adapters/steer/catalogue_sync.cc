#include "adapters/steer/catalogue_sync.h"

#include <utility>

namespace medlarcroft::adapters {

CatalogueSync::CatalogueSync(catalogue::CatalogueReplica& replica,
                             ViewCallback on_view)
    : replica_(replica), on_view_(std::move(on_view)) {}

void CatalogueSync::RecordPeerRevision(std::uint64_t revision,
                                       const std::string& peer_address) {
  replica_.NoteRevision(revision, catalogue::RevisionSource::kPeer);
  const std::lock_guard lock(mutex_);
  if (revision > replica_.Revision() && revision >= newer_revision_) {
    newer_revision_ = revision;
    newer_peer_address_ = peer_address;
  }
}

std::optional<std::string> CatalogueSync::NewerPeerAddress() const {
  const std::lock_guard lock(mutex_);
  if (newer_peer_address_.empty() || newer_revision_ <= replica_.Revision()) {
    return std::nullopt;
  }
  return newer_peer_address_;
}

void CatalogueSync::ClearNewerPeer(const std::string& peer_address) {
  const std::lock_guard lock(mutex_);
  if (newer_peer_address_ == peer_address) {
    newer_peer_address_.clear();
    newer_revision_ = 0;
  }
}

void CatalogueSync::ApplyFromPeer(const catalogue::Delta& delta) {
  static_cast<void>(replica_.Apply(delta, catalogue::RevisionSource::kPeer));
  Publish();
}

void CatalogueSync::Publish() {
  const catalogue::SharedCatalogueView view = replica_.View();
  {
    const std::lock_guard lock(mutex_);
    if (view->Revision() <= published_revision_) {
      return;
    }
    published_revision_ = view->Revision();
  }
  on_view_(view);
}

}  // namespace medlarcroft::adapters
