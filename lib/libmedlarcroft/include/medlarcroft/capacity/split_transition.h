#ifndef MEDLARCROFT_CAPACITY_SPLIT_TRANSITION_H_
#define MEDLARCROFT_CAPACITY_SPLIT_TRANSITION_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "medlarcroft/capacity/lease_rules.h"

namespace medlarcroft::capacity {

/// @brief One limit's share while the catalogue changes the limit or the number
/// of seats. Guards against exceeding both the old and the new limit: hosts
/// learn of a revision at different times, so one could use its larger new
/// share while another still uses its larger old share. A host therefore uses
/// the smaller of old and new until the rows of all seats show that their
/// holders have adopted the revision, plus one reuse delay for the loans and
/// work they had started. An unreachable holder delays growth but cannot cause
/// an overload.
class SplitTransition {
 public:
  explicit SplitTransition(const LeaseRules& rules) : rules_(rules) {}

  /// @brief Sets the share that the catalogue's `revision` gives to this seat.
  void Propose(std::uint64_t revision, std::uint32_t amount) {
    if (revision <= revision_) {
      return;
    }
    // Several revisions may be in progress: the smallest share of them all
    // applies.
    smallest_ = std::min(smallest_, amount);
    if (amount != newest_) {
      complete_at_.reset();
    }
    newest_ = amount;
    revision_ = revision;
  }

  /// @brief Starts after a seat was taken. When all owners of seats have
  /// adopted `revision` (`SeatHolder::UnanimousRevision`), no older split is in
  /// use and no wait is needed; otherwise the share is 0 until they have.
  void Begin(std::uint64_t revision,
             std::uint32_t amount,
             std::optional<std::uint64_t> unanimous_revision) {
    revision_ = revision;
    newest_ = amount;
    smallest_ = unanimous_revision == revision ? amount : 0;
    complete_at_.reset();
  }

  /// @param unanimous_revision the revision that the owners of all taken seats
  /// have adopted (`SeatHolder::UnanimousRevision`). Only equality counts: a
  /// holder that skipped this revision never applied its smaller share.
  void Confirm(std::optional<std::uint64_t> unanimous_revision,
               MonotonicTime now) {
    if (unanimous_revision != revision_ || smallest_ == newest_) {
      return;
    }
    if (!complete_at_) {
      complete_at_ = now + rules_.ReuseDelay();
    }
    if (now >= *complete_at_) {
      smallest_ = newest_;
      complete_at_.reset();
    }
  }

  [[nodiscard]] std::uint32_t Amount() const {
    return std::min(smallest_, newest_);
  }
  /// @return whether the newest split gives more than may be used yet.
  [[nodiscard]] bool IsGrowing() const { return smallest_ < newest_; }

 private:
  LeaseRules rules_;
  std::uint64_t revision_ = 0;
  std::uint32_t newest_ = 0;
  std::uint32_t smallest_ = 0;  ///< 0 until the first confirmation.
  std::optional<MonotonicTime> complete_at_;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SPLIT_TRANSITION_H_
