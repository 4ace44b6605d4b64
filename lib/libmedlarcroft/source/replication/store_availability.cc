#include "medlarcroft/replication/store_availability.h"

#include <algorithm>

namespace medlarcroft::replication {

bool StoreAvailability::Extend(AvailableTime& known,
                               const AvailableTime& added) const {
  if (!Touches(known, added) || !Touches(added, known)) {
    return false;
  }
  known.since = std::min(known.since, added.since);
  known.until = std::max(known.until, added.until);
  return true;
}

bool StoreAvailability::OnAnswer(Duration store_time) {
  // The clock of a store that was replaced starts anew.
  if (!current_ || store_time < current_->since) {
    current_ = {.since = store_time, .until = store_time};
    previous_.reset();
    return false;
  }
  const bool is_after_gap = store_time - current_->until > max_pause_;
  OnKnownByPeer({.since = store_time, .until = store_time});
  return is_after_gap;
}

void StoreAvailability::OnKnownByPeer(const AvailableTime& known) {
  if (!current_) {
    current_ = known;
    return;
  }
  if (previous_) {
    Extend(*previous_, known);
  }
  if (!Extend(*current_, known) && known.since > current_->until) {
    previous_ = current_;
    current_ = known;
  }
  CloseGap();
}

void StoreAvailability::CloseGap() {
  if (previous_ && Extend(*current_, *previous_)) {
    previous_.reset();
  }
}

}  // namespace medlarcroft::replication
