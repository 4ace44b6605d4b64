#ifndef MEDLARCROFT_CATALOGUE_CATALOGUE_ROWS_H_
#define MEDLARCROFT_CATALOGUE_CATALOGUE_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/catalogue/delta.h"
#include "medlarcroft/core/identifiers.h"

/// @file
/// @brief Keys and values of the catalogue's rows in the platform's table. Rows
/// are never deleted, so a row's version never returns to an earlier value, and
/// a condition on it cannot be met by a key that was deleted and created again.

namespace medlarcroft::catalogue {

inline constexpr std::string_view kHeadKey = "catalogue/head";
inline constexpr std::string_view kSnapshotsKey = "catalogue/snapshots";

[[nodiscard]] std::string EntryKey(const EntryName& entry);
/// Zero-padded, so that keys sort by revision.
[[nodiscard]] std::string ChangeKey(std::uint64_t revision);
/// @return the exclusive upper bound of the change keys.
[[nodiscard]] std::string EndOfChangeKeys();
[[nodiscard]] std::string ChangeIdKey(std::string_view change_id);
/// History keys of an entry sort from newest to oldest.
[[nodiscard]] std::string HistoryKey(const EntryName& entry,
                                     std::uint64_t revision);
[[nodiscard]] std::string FirstHistoryKey(const EntryName& entry);
[[nodiscard]] std::string EndOfHistoryKeys(const EntryName& entry);

/// @brief Head row: the latest revision.
[[nodiscard]] std::string FormatHead(std::uint64_t revision);
[[nodiscard]] std::optional<std::uint64_t> ParseHead(std::string_view value);

/// @brief Change row: one accepted change, as applied by every host.
[[nodiscard]] std::string FormatChange(const Change& change);
[[nodiscard]] std::optional<Change> ParseChange(std::string_view value);

/// @brief Replaces a deleted entry. Its version continues to count, so that an
/// old version held by an operator never matches a later entry of the same
/// name.
struct Tombstone {
  std::uint64_t version = 0;
};
[[nodiscard]] std::string FormatTombstone(const Tombstone& tombstone);
[[nodiscard]] std::optional<Tombstone> ParseTombstone(std::string_view value);

/// @brief Change-id row: proves that a change was accepted, and with which
/// result.
struct AcceptedChange {
  EntryName entry;
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  std::string digest;  ///< Of the request; detects reuse of a change id.
};
[[nodiscard]] std::string FormatAccepted(const AcceptedChange& accepted);
[[nodiscard]] std::optional<AcceptedChange> ParseAccepted(
    std::string_view value);

/// @brief History row: who changed an entry, and when.
struct HistoryItem {
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  OwnerName owner;
  std::string change_id;
  std::int64_t accepted_at_ms =
      0;  ///< Unix time, by the accepting host's clock.
  bool is_deletion = false;
};
[[nodiscard]] std::string FormatHistoryItem(const HistoryItem& item);
[[nodiscard]] std::optional<HistoryItem> ParseHistoryItem(
    std::string_view value);

/// @brief Snapshots row: object names of the latest snapshots, newest first.
struct SnapshotPointer {
  std::uint64_t revision = 0;
  std::string object;
};
[[nodiscard]] std::string FormatSnapshots(
    const std::vector<SnapshotPointer>& pointers);
[[nodiscard]] std::optional<std::vector<SnapshotPointer>> ParseSnapshots(
    std::string_view value);

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_ROWS_H_
