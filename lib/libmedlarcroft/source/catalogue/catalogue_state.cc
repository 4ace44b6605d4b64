#include "medlarcroft/catalogue/catalogue_state.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "medlarcroft/catalogue/entry_codec.h"

namespace medlarcroft::catalogue {

namespace {

using StoredEntry = CatalogueState::StoredEntry;

/// Faults of the document as a whole mean that it was damaged in transit;
/// faults of single fields mean that a newer version wrote it.
bool IsDamaged(const FieldFaults& faults) {
  return std::any_of(faults.begin(), faults.end(), [](const FieldFault& fault) {
    return fault.path.empty() && fault.code != FaultCode::kUnknownField;
  });
}

/// @return the entry to store, or nullopt when the document is damaged.
std::optional<StoredEntry> MakeStored(const Change& change,
                                      std::optional<Entry> previous) {
  StoredEntry stored{.document = change.document,
                     .last_parsed = std::move(previous)};
  auto parsed = ParseEntry(change.document, UnknownFields::kIgnore);
  if (!IsOk(parsed)) {
    return IsDamaged(ErrorOf(parsed)) ? std::nullopt : std::optional(stored);
  }

  stored.last_parsed = TakeValue(std::move(parsed));
  stored.last_parsed->name = change.entry;
  stored.is_parsed = true;
  return stored;
}

}  // namespace

ApplyResult CatalogueState::Apply(const Change& change) {
  if (change.revision <= revision_) {
    return ApplyResult::kAlreadyKnown;
  }
  if (change.revision != revision_ + 1) {
    return ApplyResult::kGap;
  }

  if (change.document.empty()) {
    entries_.erase(change.entry);
    revision_ = change.revision;
    return ApplyResult::kApplied;
  }

  const auto found = entries_.find(change.entry);
  auto stored =
      MakeStored(change, found == entries_.end() ? std::nullopt
                                                 : found->second.last_parsed);
  if (!stored) {
    return ApplyResult::kMalformed;
  }
  entries_[change.entry] = *std::move(stored);
  revision_ = change.revision;
  return ApplyResult::kApplied;
}

ApplyResult CatalogueState::Replace(const Delta& snapshot) {
  if (snapshot.to_revision <= revision_) {
    return ApplyResult::kAlreadyKnown;
  }

  std::map<EntryName, StoredEntry> entries;
  for (const Change& change : snapshot.changes) {
    const auto known = entries_.find(change.entry);
    auto stored =
        MakeStored(change, known == entries_.end() ? std::nullopt
                                                   : known->second.last_parsed);
    if (!stored) {
      return ApplyResult::kMalformed;
    }
    entries[change.entry] = *std::move(stored);
  }
  entries_ = std::move(entries);
  revision_ = snapshot.to_revision;
  return ApplyResult::kApplied;
}

SharedCatalogueView CatalogueState::MakeView() const {
  std::map<EntryName, Entry> entries;
  for (const auto& [name, stored] : entries_) {
    if (stored.last_parsed) {
      entries.emplace(name, *stored.last_parsed);
    }
  }
  return std::make_shared<const CatalogueView>(revision_, std::move(entries));
}

Delta CatalogueState::MakeSnapshot() const {
  Delta snapshot{
      .from_revision = 0, .to_revision = revision_, .is_snapshot = true};
  snapshot.changes.reserve(entries_.size());
  for (const auto& [name, stored] : entries_) {
    snapshot.changes.push_back({.revision = revision_,
                                .entry = name,
                                .document = stored.document,
                                .change_id = {}});
  }
  return snapshot;
}

std::vector<EntryName> CatalogueState::UnparsedEntries() const {
  std::vector<EntryName> names;
  for (const auto& [name, stored] : entries_) {
    if (!stored.is_parsed) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace medlarcroft::catalogue
