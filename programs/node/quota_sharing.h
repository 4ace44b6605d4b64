#ifndef MEDLARCROFT_PROGRAMS_NODE_QUOTA_SHARING_H_
#define MEDLARCROFT_PROGRAMS_NODE_QUOTA_SHARING_H_

#include <functional>
#include <memory>
#include <span>

#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/quota/quota_enforcer.h"
#include "medlarcroft/telemetry/metrics.h"
#include "peer_group.h"

namespace medlarcroft::node {

/// @brief Connects the enforcement of quotas to the other hosts, and logs which
/// host issues the tokens of this one.
class QuotaSharing final : public quota::QuotaSender,
                           public quota::QuotaObserver {
 public:
  struct Parts {
    adapters::EventLoop& loop;
    PeerGroup& peers;
    ports::RandomSource& random;
    telemetry::MetricsRegistry& metrics;
    quota::QuotaBounds bounds;
    /// Called when requests of the account may continue.
    std::function<void(const ClientAccountName&)> on_tokens;
  };

  explicit QuotaSharing(Parts parts);

  void Start();
  [[nodiscard]] quota::QuotaEnforcer& Enforcer() { return enforcer_; }
  void SetAccounts(
      std::span<const std::shared_ptr<const routing::ClientAccount>> accounts) {
    enforcer_.SetAccounts(accounts, parts_.loop.Now());
    UpdateHosts();
  }
  /// @brief Applies the hosts that are listed and live now.
  void UpdateHosts();
  void OnRequest(quota::HostNumber sender, const quota::TokenRequest& request) {
    enforcer_.OnRequest(sender, request, parts_.loop.Now());
  }
  void OnAnswer(quota::HostNumber sender, const quota::TokenAnswer& answer) {
    enforcer_.OnAnswer(sender, answer, parts_.loop.Now());
  }

  void Send(quota::HostNumber host,
            const quota::TokenRequest& request) override;
  void Send(quota::HostNumber host, const quota::TokenAnswer& answer) override;
  void OnTokens(const ClientAccountName& account) override {
    parts_.on_tokens(account);
  }
  void OnIssuerChanged(quota::HostNumber issuer, bool was_silent) override;

 private:
  [[nodiscard]] quota::QuotaEnforcer::Options EnforcerOptions() const;

  Parts parts_;
  bool is_share_confirmation_asked_ = false;
  quota::QuotaEnforcer enforcer_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_QUOTA_SHARING_H_
