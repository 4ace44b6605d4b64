#ifndef MEDLARCROFT_ROUTING_CLIENT_ACCOUNT_H_
#define MEDLARCROFT_ROUTING_CLIENT_ACCOUNT_H_

#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/routing/api_key.h"

namespace medlarcroft::routing {

/// @brief Limit on the requests of a client account, for all hosts together.
struct Quota {
  double requests_per_second = 0;  ///< 0: unlimited.
  double burst = 0;                ///< Requests allowed in addition, at once.

  [[nodiscard]] bool IsUnlimited() const { return requests_per_second <= 0; }

  friend bool operator==(const Quota&, const Quota&) = default;
};

/// @brief A customer whose callers authenticate with API keys.
struct ClientAccount {
  ClientAccountName name;
  std::vector<ApiKeyDigest> keys;
  Quota quota;
  /// Replaces the priority of the route; 0 is the highest.
  std::optional<int> priority;
  /// Regions whose targets may run the requests, in addition to the
  /// restriction of the route; empty: all.
  std::vector<RegionName> allowed_regions;
};

/// @brief The client accounts of one configuration, by key.
class ClientAccountTable {
 public:
  /// @brief Replaces all accounts. Requests keep the account that they arrived
  /// with, which stays valid while they hold it.
  void Replace(std::vector<ClientAccount> accounts);

  /// @return the account that holds the key, in constant time; null: none.
  [[nodiscard]] std::shared_ptr<const ClientAccount> Find(
      const ApiKeyDigest& key) const;

  /// @return the account of that name; null: none.
  [[nodiscard]] std::shared_ptr<const ClientAccount> FindByName(
      const ClientAccountName& name) const;

  /// @return whether callers need a key.
  [[nodiscard]] bool IsEmpty() const { return accounts_.empty(); }
  [[nodiscard]] std::span<const std::shared_ptr<const ClientAccount>> Accounts()
      const {
    return accounts_;
  }

 private:
  std::vector<std::shared_ptr<const ClientAccount>> accounts_;
  std::unordered_map<ApiKeyDigest, std::shared_ptr<const ClientAccount>>
      by_key_;
};

}  // namespace medlarcroft::routing

#endif  // MEDLARCROFT_ROUTING_CLIENT_ACCOUNT_H_
