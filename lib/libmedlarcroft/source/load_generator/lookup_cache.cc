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

/// A broken answer may say any number; beyond an hour it makes no difference.
Duration ReadTtl(const json& milliseconds) {
  constexpr double kLongestMs = 3'600'000;
  const double value = milliseconds.get<double>();
  return value > 0 ? FromSeconds(std::min(value, kLongestMs) / 1000)
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

Result<LookupAnswer, LookupAnswerError> ParseLookupResponse(
    std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return LookupAnswerError::kNotJson;
  }
  if (!document.contains("ttl_ms") || !document["ttl_ms"].is_number() ||
      !document.contains("entry_hosts") ||
      !document["entry_hosts"].is_array()) {
    return LookupAnswerError::kMissingField;
  }

  LookupAnswer answer;
  answer.ttl = ReadTtl(document["ttl_ms"]);
  if (document.contains("revision") && document["revision"].is_number()) {
    answer.revision = document["revision"];
  }
  for (const json& item : document["entry_hosts"]) {
    if (auto host = ReadHost(item)) {
      answer.entry_hosts.push_back(*std::move(host));
    }
  }
  if (answer.entry_hosts.empty()) {
    return LookupAnswerError::kNoEntryHost;
  }
  answer.keys = ReadKeys(document);
  return answer;
}

std::vector<std::string> ParseKeys(std::string_view text) {
  return ReadKeys(json::parse(text, nullptr, false));
}

void LookupCache::Put(const Subject& subject,
                      LookupAnswer answer,
                      MonotonicTime now) {
  Line& line = lines_[subject];
  line.entry_hosts = std::move(answer.entry_hosts);
  line.good_until = now + answer.ttl;
  AddKeys(subject, std::move(answer.keys));
}

void LookupCache::AddKeys(const Subject& subject,
                          std::vector<std::string> keys) {
  std::vector<std::string>& kept = lines_[subject].keys;
  kept.insert(kept.end(), std::make_move_iterator(keys.begin()),
              std::make_move_iterator(keys.end()));
}

bool LookupCache::IsFresh(const Subject& subject, MonotonicTime now) const {
  const auto found = lines_.find(subject);
  return found != lines_.end() && now < found->second.good_until;
}

std::optional<EntryHost> LookupCache::Choose(
    const Subject& subject,
    const std::set<std::string>& tried,
    ports::RandomSource& random) const {
  const auto found = lines_.find(subject);
  if (found == lines_.end()) {
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
  std::vector<std::string>& keys = lines_[subject].keys;
  if (keys.empty()) {
    return std::nullopt;
  }
  std::string key = std::move(keys.back());
  keys.pop_back();
  return key;
}

}  // namespace medlarcroft::load_generator
