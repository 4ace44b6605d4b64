#include "quota_sharing.h"

#include <utility>

#include "adapters/process/log.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;

// How long the use of this host's share is postponed at a time while the number
// of hosts is unknown.
constexpr Duration kUnknownHostsDelay = std::chrono::seconds(1);
constexpr quota::QuotaGroup kQuotaGroup = quota::QuotaGroup::kRegion;

constexpr telemetry::MetricDescription kIssuedShare = {
    "medlar_quota_issued_share",
    "Part of all quotas for which this host issues tokens."};

}  // namespace

QuotaSharing::QuotaSharing(Parts parts)
    : parts_(std::move(parts)), enforcer_(EnforcerOptions(), *this, *this) {
  parts_.metrics.AddGaugeSource(kIssuedShare, {}, [this] {
    return enforcer_.IssuedShare(parts_.loop.Now());
  });
}

quota::QuotaEnforcer::Options QuotaSharing::EnforcerOptions() const {
  return {.self = parts_.peers.OwnNumber(),
          .incarnation = static_cast<std::uint16_t>(parts_.random.Next()),
          .bounds = parts_.bounds,
          .first_request = static_cast<std::uint32_t>(parts_.random.Next()),
          .started_at = parts_.loop.Now()};
}

void QuotaSharing::Start() {
  parts_.loop.Every(quota::kQuotaTickPeriod,
                    [this] { enforcer_.Advance(parts_.loop.Now()); });
}

void QuotaSharing::UpdateHosts() {
  if (!enforcer_.IsActive()) {
    return;
  }
  const MonotonicTime now = parts_.loop.Now();
  quota::QuotaHosts hosts = quota::MakeQuotaHosts(
      parts_.peers.QuotaCandidates(), parts_.peers.OwnCandidate(), kQuotaGroup);
  hosts.listed = parts_.peers.Sharing().Share().hosts;
  enforcer_.SetHosts(std::move(hosts));
  if (parts_.peers.IsHostListCurrent() &&
      !std::exchange(is_share_confirmation_asked_, true)) {
    enforcer_.ConfirmUnusedShare(now);
  }
  enforcer_.PostponeOwnShare(
      parts_.peers.Sharing().CountedSince().value_or(now + kUnknownHostsDelay));
}

void QuotaSharing::Send(quota::HostNumber host,
                        const quota::TokenRequest& request) {
  parts_.peers.SendTo(host, {.token_request = request});
}

void QuotaSharing::Send(quota::HostNumber host,
                        const quota::TokenAnswer& answer) {
  parts_.peers.SendTo(host, {.token_answer = answer});
}

void QuotaSharing::OnIssuerChanged(quota::HostNumber issuer, bool was_silent) {
  Log(LogLevel::kInfo, "quota-issuer-changed",
      {{"issuer", issuer == quota::kNoHost ? std::string("self")
                                           : parts_.peers.NameOf(issuer)},
       {"was_silent", was_silent}});
}

}  // namespace medlarcroft::node
