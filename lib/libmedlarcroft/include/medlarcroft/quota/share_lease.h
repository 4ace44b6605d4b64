#ifndef MEDLARCROFT_QUOTA_SHARE_LEASE_H_
#define MEDLARCROFT_QUOTA_SHARE_LEASE_H_

#include <algorithm>

#include "medlarcroft/core/time.h"
#include "medlarcroft/quota/quota_message.h"

namespace medlarcroft::quota {

/// How long a delegated share belongs to its issuer. A longer lease keeps the
/// share of a failed issuer unused for longer, a shorter one is lost with a few
/// datagrams.
inline constexpr Duration kShareLease = std::chrono::milliseconds(1000);
/// The part of a lease that an issuer uses, since its clock may be slower than
/// the clock of the host that waits for the end of the lease.
inline constexpr double kUsedLeaseFraction = 0.98;

/// @brief Decides who may create tokens from this host's share of the quotas:
/// this host, or the issuer to which it delegates the share.
///
/// If two processes used one share, all hosts together would exceed the quotas.
/// So a promise to an issuer must end before the share is used by anyone else.
/// A process that starts does not know what its predecessor promised, and waits
/// for one lease, or until all that may have the share deny it.
class ShareLease {
 public:
  /// @param usable_from start of the process plus one lease.
  explicit ShareLease(MonotonicTime usable_from) : usable_from_(usable_from) {}

  /// @brief Postpones the first use of the share, for a host that others do not
  /// count yet.
  void PostponeUntil(MonotonicTime time) {
    postponed_until_ = std::max(postponed_until_, time);
    usable_from_ = std::max(usable_from_, time);
  }

  /// @brief No process uses the share: it may be used at once.
  void OnConfirmedUnused(MonotonicTime now) {
    usable_from_ = std::min(usable_from_, std::max(now, postponed_until_));
  }

  /// @return whether this host may create tokens from the share now.
  [[nodiscard]] bool IsUsable(MonotonicTime now) const {
    return now >= usable_from_ && now >= promised_until_;
  }

  [[nodiscard]] bool MayDelegate(HostNumber issuer, MonotonicTime now) const {
    return now >= usable_from_ && (now >= promised_until_ || issuer == issuer_);
  }

  /// @brief Promises the share to the issuer for one lease. Requires
  /// `MayDelegate`, and that this host no longer uses the share.
  void Delegate(HostNumber issuer, MonotonicTime now) {
    issuer_ = issuer;
    promised_until_ = now + kShareLease;
  }

  /// @return the issuer that has the share now; `kNoHost`: none.
  [[nodiscard]] HostNumber DelegatedTo(MonotonicTime now) const {
    return now < promised_until_ ? issuer_ : kNoHost;
  }

 private:
  MonotonicTime usable_from_;
  MonotonicTime postponed_until_{MonotonicTime::min()};
  HostNumber issuer_ = kNoHost;
  MonotonicTime promised_until_{MonotonicTime::min()};
};

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_QUOTA_SHARE_LEASE_H_
