#include "claim_row.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace medlarcroft::idempotency {

namespace {

std::string FixedHex(std::uint64_t number) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(number));
  return digits.data();
}

}  // namespace

std::string EncodeClaimRow(const ClaimRow& row) {
  const nlohmann::json json = {{"host", row.claimant.host.Value()},
                               {"incarnation", row.claimant.incarnation},
                               {"nonce", row.nonce},
                               {"fence", row.is_fence}};
  return json.dump();
}

std::optional<ClaimRow> DecodeClaimRow(std::string_view text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("host") ||
      !json.contains("incarnation") || !json.contains("nonce") ||
      !json.contains("fence")) {
    return std::nullopt;
  }
  if (!json["host"].is_string() || !json["incarnation"].is_number_unsigned() ||
      !json["nonce"].is_number_unsigned() || !json["fence"].is_boolean()) {
    return std::nullopt;
  }
  return ClaimRow{
      .claimant = {.host = HostName(json["host"].get<std::string>()),
                   .incarnation = json["incarnation"].get<std::uint64_t>()},
      .nonce = json["nonce"].get<std::uint64_t>(),
      .is_fence = json["fence"].get<bool>()};
}

std::string ClaimRowsBefore(WallTime time) {
  const std::int64_t expiry = ToMilliseconds(time.time_since_epoch());
  return std::string(kClaimPrefix) +
         FixedHex(static_cast<std::uint64_t>(expiry));
}

std::string ClaimRowKey(const Key& key) {
  return ClaimRowsBefore(key.expiry) + "/" + key.id.issuer.Value() + "/" +
         FixedHex(key.id.incarnation) + "/" + FixedHex(key.id.sequence);
}

}  // namespace medlarcroft::idempotency
