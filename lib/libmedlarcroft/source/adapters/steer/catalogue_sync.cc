#include "adapters/steer/catalogue_sync.h"

#include <utility>

namespace medlarcroft::adapters {

CatalogueAgent::CatalogueAgent(catalogue::CatalogueReplica& replica,
                               ViewCallback on_view)
    : replica_(replica), on_view_(std::move(on_view)) {}

void CatalogueAgent::NoteRevision(std::uint64_t revision,
                                  const std::string& peer_address) {
  replica_.NoteRevision(revision, catalogue::RevisionSource::kPeer);
  const std::lock_guard lock(mutex_);
  if (revision > replica_.Revision() && revision >= revision_ahead_) {
    revision_ahead_ = revision;
    peer_ahead_ = peer_address;
  }
}

std::optional<std::string> CatalogueAgent::AddressOfPeerAhead() const {
  const std::lock_guard lock(mutex_);
  if (peer_ahead_.empty() || revision_ahead_ <= replica_.Revision()) {
    return std::nullopt;
  }
  return peer_ahead_;
}

void CatalogueAgent::ForgetPeerAhead(const std::string& peer_address) {
  const std::lock_guard lock(mutex_);
  if (peer_ahead_ == peer_address) {
    peer_ahead_.clear();
    revision_ahead_ = 0;
  }
}

void CatalogueAgent::ApplyFromPeer(const catalogue::Delta& delta) {
  static_cast<void>(replica_.Apply(delta, catalogue::RevisionSource::kPeer));
  Publish();
}

void CatalogueAgent::Publish() {
  const catalogue::SharedCatalogueView view = replica_.View();
  {
    const std::lock_guard lock(mutex_);
    if (view->Revision() <= published_) {
      return;
    }
    published_ = view->Revision();
  }
  on_view_(view);
}

}  // namespace medlarcroft::adapters
