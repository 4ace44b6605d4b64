#include "medlarcroft/catalogue/snapshot_codec.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

namespace medlarcroft::catalogue {

namespace {

using nlohmann::json;

constexpr std::string_view kMagic = "medlarcroft-catalogue-snapshot 1 ";

std::optional<Delta> ParseContent(std::string_view content) {
  try {
    const json value = json::parse(content);
    Delta snapshot{.from_revision = 0,
                   .to_revision = value.at("revision").get<std::uint64_t>(),
                   .is_snapshot = true};
    for (const auto& [name, document] : value.at("entries").items()) {
      snapshot.changes.push_back({.revision = snapshot.to_revision,
                                  .entry = EntryName(name),
                                  .document = document.get<std::string>(),
                                  .change_id = {}});
    }
    return snapshot;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string ChecksumOf(std::string_view bytes) {
  std::array<char, 17> text{};
  std::snprintf(
      text.data(), text.size(), "%016llx",
      static_cast<unsigned long long>(XXH3_64bits(bytes.data(), bytes.size())));
  return {text.data(), 16};
}

std::string EncodeSnapshot(const Delta& snapshot) {
  json entries = json::object();
  for (const Change& change : snapshot.changes) {
    entries[change.entry.Value()] = change.document;
  }
  const std::string content = json({{"revision", snapshot.to_revision},
                                    {"entries", std::move(entries)}})
                                  .dump();
  return std::string(kMagic) + ChecksumOf(content) + "\n" + content;
}

Result<Delta, SnapshotFault> DecodeSnapshot(std::string_view bytes) {
  if (!bytes.starts_with(kMagic)) {
    return SnapshotFault::kUnknownFormat;
  }
  bytes.remove_prefix(kMagic.size());
  const auto line_end = bytes.find('\n');
  if (line_end == std::string_view::npos) {
    return SnapshotFault::kBadChecksum;
  }

  const std::string_view content = bytes.substr(line_end + 1);
  if (bytes.substr(0, line_end) != ChecksumOf(content)) {
    return SnapshotFault::kBadChecksum;
  }
  auto snapshot = ParseContent(content);
  if (!snapshot) {
    return SnapshotFault::kBadContent;
  }
  return *std::move(snapshot);
}

}  // namespace medlarcroft::catalogue
