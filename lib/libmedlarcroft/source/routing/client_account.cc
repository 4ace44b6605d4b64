#include "medlarcroft/routing/client_account.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::routing {

void ClientAccountTable::Replace(std::vector<ClientAccount> accounts) {
  accounts_.clear();
  by_key_.clear();
  for (ClientAccount& account : accounts) {
    const auto& shared = accounts_.emplace_back(
        std::make_shared<const ClientAccount>(std::move(account)));
    for (const ApiKeyDigest& key : shared->keys) {
      by_key_.emplace(key, shared);
    }
  }
}

std::shared_ptr<const ClientAccount> ClientAccountTable::Find(
    const ApiKeyDigest& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

std::shared_ptr<const ClientAccount> ClientAccountTable::FindByName(
    const ClientAccountName& name) const {
  const auto found = std::ranges::find_if(
      accounts_,
      [&name](const auto& account) { return account->name == name; });
  return found == accounts_.end() ? nullptr : *found;
}

}  // namespace medlarcroft::routing
