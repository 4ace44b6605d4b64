#include "shift_state.h"

#include <algorithm>

namespace medlarcroft::steering {

namespace {

using Names = std::vector<FailureDomainName>;

constexpr std::size_t kNone = static_cast<std::size_t>(-1);

/// @return the old index for each new one, or kNone.
std::vector<std::size_t> MapToOldIndices(const Names& before,
                                         const Names& after) {
  std::vector<std::size_t> indices;
  for (const FailureDomainName& name : after) {
    const auto found = std::find(before.begin(), before.end(), name);
    indices.push_back(found == before.end()
                          ? kNone
                          : static_cast<std::size_t>(found - before.begin()));
  }
  return indices;
}

template <typename Item>
void RemapItems(std::vector<Item>& items,
                const std::vector<std::size_t>& old_indices) {
  std::vector<Item> remapped(old_indices.size());
  for (std::size_t index = 0; index < remapped.size(); ++index) {
    if (old_indices[index] < items.size()) {
      remapped[index] = std::move(items[old_indices[index]]);
    }
  }
  items = std::move(remapped);
}

/// @return the old index for each new pair of domains, or kNone.
std::vector<std::size_t> MapPairsToOldIndices(
    const std::vector<std::size_t>& indices,
    std::size_t old_size) {
  std::vector<std::size_t> pairs;
  for (const std::size_t from : indices) {
    for (const std::size_t to : indices) {
      const bool is_known = from != kNone && to != kNone;
      pairs.push_back(is_known ? from * old_size + to : kNone);
    }
  }
  return pairs;
}

}  // namespace

void ShiftPlanner::State::SyncWithCatalogue(
    const catalogue::CatalogueView& catalogue) {
  Names names;
  for (const catalogue::FailureDomainEntry* entry :
       catalogue.FailureDomains()) {
    names.push_back(entry->failure_domain);
  }

  if (names != domains) {
    const auto indices = MapToOldIndices(domains, names);
    const auto pairs = MapPairsToOldIndices(indices, domains.size());
    RemapItems(links, pairs);
    for (auto& [service, state] : services) {
      RemapItems(state.shifts, pairs);
      RemapItems(state.pools, indices);
      RemapItems(state.moves, indices);
    }
    domains = std::move(names);
  }

  std::erase_if(services, [&](const auto& item) {
    return catalogue.FindService(item.first) == nullptr;
  });

  for (const catalogue::ServiceEntry* service : catalogue.Services()) {
    ServiceState& state = services[service->service];
    state.shifts.resize(domains.size() * domains.size());
    state.pools.resize(domains.size());
    state.moves.resize(domains.size());
  }
}

}  // namespace medlarcroft::steering
