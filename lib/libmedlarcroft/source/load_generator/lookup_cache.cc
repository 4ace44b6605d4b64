#include "medlarcroft/load_generator/lookup_cache.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace medlarcroft::load_generator {

namespace {

using nlohmann::json;

std::optional<EntryHost> ReadHost(const json& item) {
  if (!item.is_object() || !item.contains("address") ||
      !item["address"].is_string()) {
    return std::nullopt;
  }
  EntryHost host{.address = item["address"]};
  if (item.contains("host") && item["host"].is_string()) {
    host.host = item["host"];
  }
  if (item.contains("weight") && item["weight"].is_number()) {
    host.weight = item["weight"];
  }
  return host;
}

/// A malformed response may contain any number. TTLs are capped at an hour, as
/// longer ones make no difference.
Duration ReadTtl(const json& milliseconds) {
  constexpr double kMaxTtlMs = 3'600'000;
  const double value = milliseconds.get<double>();
  return value > 0 ? FromSeconds(std::min(value, kMaxTtlMs) / 1000)
                   : Duration::zero();
}

std::vector<std::string> ReadKeys(const json& document) {
  std::vector<std::string> keys;
  if (!document.is_object()) {
    return keys;
  }
  const auto found = document.find("idempotency_keys");
  if (found == document.end() || !found->is_array()) {
    return keys;
  }
  for (const json& key : *found) {
    if (key.is_string()) {
      keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace

Result<LookupResponse, LookupResponseError> ParseLookupResponse(
    std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return LookupResponseError::kNotJson;
  }
  if (!document.contains("ttl_ms") || !document["ttl_ms"].is_number() ||
      !document.contains("entry_hosts") ||
      !document["entry_hosts"].is_array()) {
    return LookupResponseError::kMissingField;
  }

  LookupResponse response;
  response.ttl = ReadTtl(document["ttl_ms"]);
  if (document.contains("revision") && document["revision"].is_number()) {
    response.revision = document["revision"];
  }
  for (const json& item : document["entry_hosts"]) {
    if (auto host = ReadHost(item)) {
      response.entry_hosts.push_back(*std::move(host));
    }
  }
  if (response.entry_hosts.empty()) {
    return LookupResponseError::kNoEntryHost;
  }
  response.keys = ReadKeys(document);
  return response;
}

std::vector<std::string> ParseKeys(std::string_view text) {
  return ReadKeys(json::parse(text, nullptr, false));
}

void LookupCache::Put(const Subject& subject,
                      LookupResponse response,
                      MonotonicTime now) {
  Entry& entry = entries_[subject];
  entry.entry_hosts = std::move(response.entry_hosts);
  entry.expires_at = now + response.ttl;
  AddKeys(subject, std::move(response.keys));
}

void LookupCache::AddKeys(const Subject& subject,
                          std::vector<std::string> keys) {
  std::vector<std::string>& kept = entries_[subject].keys;
  kept.insert(kept.end(), std::make_move_iterator(keys.begin()),
              std::make_move_iterator(keys.end()));
}

bool LookupCache::IsFresh(const Subject& subject, MonotonicTime now) const {
  const auto found = entries_.find(subject);
  return found != entries_.end() && now < found->second.expires_at;
}

std::optional<EntryHost> LookupCache::Choose(
    const Subject& subject,
    const std::set<std::string>& tried,
    ports::RandomSource& random) const {
  const auto found = entries_.find(subject);
  if (found == entries_.end()) {
    return std::nullopt;
  }

  std::vector<const EntryHost*> left;
  double total = 0;
  for (const EntryHost& host : found->second.entry_hosts) {
    if (!tried.contains(host.address)) {
      left.push_back(&host);
      total += host.weight;
    }
  }
  if (left.empty()) {
    return std::nullopt;
  }
  double drawn = random.NextUnit() * total;
  for (const EntryHost* host : left) {
    drawn -= host->weight;
    if (drawn < 0) {
      return *host;
    }
  }
  return *left.front();
}

std::optional<std::string> LookupCache::TakeKey(const Subject& subject) {
  std::vector<std::string>& keys = entries_[subject].keys;
  if (keys.empty()) {
    return std::nullopt;
  }
  std::string key = std::move(keys.back());
  keys.pop_back();
  return key;
}

}  // namespace medlarcroft::load_generator
