#include "medlarcroft/resources/connection_limit.h"

namespace medlarcroft::resources {

ConnectionLimit::Id ConnectionLimit::Add() {
  std::list<Id>& silent = ListOf(ConnectionState::kSilent);
  silent.push_back(++last_);
  entries_.emplace(last_, Entry{.place = std::prev(silent.end())});
  return last_;
}

void ConnectionLimit::SetState(Id id, ConnectionState state) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.state == state) {
    return;
  }
  std::list<Id>& next = ListOf(state);
  next.splice(next.end(), ListOf(found->second.state), found->second.place);
  found->second.state = state;
}

void ConnectionLimit::Remove(Id id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    ListOf(found->second.state).erase(found->second.place);
    entries_.erase(found);
  }
}

std::optional<ConnectionLimit::Id> ConnectionLimit::FindExcess(
    Id newcomer) const {
  return IsExceeded() ? FindLeast(newcomer) : std::nullopt;
}

std::optional<ConnectionLimit::Id> ConnectionLimit::FindLeast(
    Id newcomer) const {
  for (std::size_t state = 0;
       state < static_cast<std::size_t>(ConnectionState::kServing); ++state) {
    for (const Id id : by_state_.at(state)) {
      if (id != newcomer) {
        return id;
      }
    }
  }
  return std::nullopt;
}

}  // namespace medlarcroft::resources
