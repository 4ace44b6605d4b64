#include "medlarcroft/catalogue/catalogue_rows.h"

#include <array>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>

namespace medlarcroft::catalogue {

namespace {

using nlohmann::json;

/// Sorts after every character allowed in the last part of a key.
constexpr std::string_view kKeyRangeEnd = "~";

std::string ZeroPadded(std::uint64_t number) {
  std::array<char, 21> text{};
  std::snprintf(text.data(), text.size(), "%020llu",
                static_cast<unsigned long long>(number));
  return {text.data(), 20};
}

template <typename Value, typename Reader>
std::optional<Value> ParseWith(std::string_view text, Reader read) {
  try {
    return read(json::parse(text));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

template <typename Value>
Value Get(const json& object, const char* key) {
  return object.at(key).get<Value>();
}

std::string GetText(const json& object, const char* key) {
  return Get<std::string>(object, key);
}

std::uint64_t GetCount(const json& object, const char* key) {
  return Get<std::uint64_t>(object, key);
}

}  // namespace

std::string EntryKey(const EntryName& entry) {
  return "catalogue/entry/" + entry.Value();
}

std::string ChangeKey(std::uint64_t revision) {
  return "catalogue/change/" + ZeroPadded(revision);
}

std::string EndOfChangeKeys() {
  return "catalogue/change/" + std::string(kKeyRangeEnd);
}

std::string ChangeIdKey(std::string_view change_id) {
  return "catalogue/change-id/" + std::string(change_id);
}

std::string FirstHistoryKey(const EntryName& entry) {
  return "catalogue/history/" + entry.Value() + "/";
}

std::string HistoryKey(const EntryName& entry, std::uint64_t revision) {
  return FirstHistoryKey(entry) +
         ZeroPadded(std::numeric_limits<std::uint64_t>::max() - revision);
}

std::string EndOfHistoryKeys(const EntryName& entry) {
  return FirstHistoryKey(entry) + std::string(kKeyRangeEnd);
}

std::string FormatHead(std::uint64_t revision) {
  return json({{"revision", revision}}).dump();
}

std::optional<std::uint64_t> ParseHead(std::string_view value) {
  return ParseWith<std::uint64_t>(
      value, [](const json& head) { return GetCount(head, "revision"); });
}

std::string FormatChange(const Change& change) {
  return json({{"revision", change.revision},
               {"entry", change.entry.Value()},
               {"document", change.document},
               {"change_id", change.change_id}})
      .dump();
}

std::optional<Change> ParseChange(std::string_view value) {
  return ParseWith<Change>(value, [](const json& change) {
    return Change{.revision = GetCount(change, "revision"),
                  .entry = EntryName(GetText(change, "entry")),
                  .document = GetText(change, "document"),
                  .change_id = GetText(change, "change_id")};
  });
}

std::string FormatTombstone(const Tombstone& tombstone) {
  return json({{"deleted", true}, {"version", tombstone.version}}).dump();
}

std::optional<Tombstone> ParseTombstone(std::string_view value) {
  return ParseWith<Tombstone>(value, [](const json& row) {
    (void)row.at("deleted");
    return Tombstone{.version = GetCount(row, "version")};
  });
}

std::string FormatAccepted(const AcceptedChange& accepted) {
  return json({{"entry", accepted.entry.Value()},
               {"revision", accepted.revision},
               {"version", accepted.version},
               {"digest", accepted.digest}})
      .dump();
}

std::optional<AcceptedChange> ParseAccepted(std::string_view value) {
  return ParseWith<AcceptedChange>(value, [](const json& row) {
    return AcceptedChange{.entry = EntryName(GetText(row, "entry")),
                          .revision = GetCount(row, "revision"),
                          .version = GetCount(row, "version"),
                          .digest = GetText(row, "digest")};
  });
}

std::string FormatHistoryItem(const HistoryItem& item) {
  return json({{"revision", item.revision},
               {"version", item.version},
               {"owner", item.owner.Value()},
               {"change_id", item.change_id},
               {"accepted_at_ms", item.accepted_at_ms},
               {"is_deletion", item.is_deletion}})
      .dump();
}

std::optional<HistoryItem> ParseHistoryItem(std::string_view value) {
  return ParseWith<HistoryItem>(value, [](const json& row) {
    return HistoryItem{
        .revision = GetCount(row, "revision"),
        .version = GetCount(row, "version"),
        .owner = OwnerName(GetText(row, "owner")),
        .change_id = GetText(row, "change_id"),
        .accepted_at_ms = Get<std::int64_t>(row, "accepted_at_ms"),
        .is_deletion = Get<bool>(row, "is_deletion")};
  });
}

std::string FormatSnapshots(const std::vector<SnapshotPointer>& pointers) {
  json list = json::array();
  for (const SnapshotPointer& pointer : pointers) {
    list.push_back(
        {{"revision", pointer.revision}, {"object", pointer.object}});
  }
  return json({{"snapshots", list}}).dump();
}

std::optional<std::vector<SnapshotPointer>> ParseSnapshots(
    std::string_view value) {
  return ParseWith<std::vector<SnapshotPointer>>(value, [](const json& row) {
    std::vector<SnapshotPointer> pointers;
    for (const json& item : row.at("snapshots")) {
      pointers.push_back({.revision = GetCount(item, "revision"),
                          .object = GetText(item, "object")});
    }
    return pointers;
  });
}

}  // namespace medlarcroft::catalogue
