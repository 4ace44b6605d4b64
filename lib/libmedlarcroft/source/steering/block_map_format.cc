#include "block_map_format.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace medlarcroft::steering::block_map_format {

namespace {

std::optional<std::uint64_t> ReadUnsigned(const nlohmann::json& object,
                                          const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

const nlohmann::json* FindArray(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_array() ? &*found : nullptr;
}

Result<Site, BlockMapError> ReadSite(const nlohmann::json& item,
                                     const nlohmann::json& domains) {
  const bool has_name =
      item.is_object() && item.contains("name") && item.at("name").is_string();
  const nlohmann::json* order = has_name ? FindArray(item, "domains") : nullptr;
  if (order == nullptr || order->size() > kMaxDomainsPerSite) {
    return BlockMapError::kMalformedHeader;
  }

  Site site{.name = item.at("name").get<std::string>()};
  for (const nlohmann::json& index : *order) {
    const bool is_known = index.is_number_unsigned() &&
                          index.get<std::uint64_t>() < domains.size() &&
                          domains[index.get<std::size_t>()].is_string();
    if (!is_known) {
      return BlockMapError::kUnknownDomain;
    }

    site.failure_domains.emplace_back(
        domains[index.get<std::size_t>()].get<std::string>());
  }
  return site;
}

Result<Header, BlockMapError> ReadHeader(std::string_view text) {
  const nlohmann::json json =
      nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
  if (!json.is_object()) {
    return BlockMapError::kMalformedHeader;
  }

  const auto version = ReadUnsigned(json, "version");
  const auto ipv4 = ReadUnsigned(json, "ipv4");
  const auto ipv6 = ReadUnsigned(json, "ipv6");
  const nlohmann::json* domains = FindArray(json, "domains");
  const nlohmann::json* sites = FindArray(json, "sites");
  const bool has_base = json.contains("base_version");
  const auto base_version = ReadUnsigned(json, "base_version");

  const bool is_complete = version && ipv4 && ipv6 && domains != nullptr &&
                           sites != nullptr && (!has_base || base_version);
  if (!is_complete) {
    return BlockMapError::kMalformedHeader;
  }

  if (sites->size() > kMaxSites) {
    return BlockMapError::kTooManySites;
  }

  if (*ipv4 > kMaxBlocks || *ipv6 > kMaxBlocks || *ipv4 + *ipv6 > kMaxBlocks) {
    return BlockMapError::kTooManyBlocks;
  }

  Header header{.version = *version,
                .base_version = base_version,
                .ipv4 = *ipv4,
                .ipv6 = *ipv6};
  for (const nlohmann::json& item : *sites) {
    auto site = ReadSite(item, *domains);
    if (!IsOk(site)) {
      return ErrorOf(site);
    }
    header.sites.push_back(TakeValue(std::move(site)));
  }
  return header;
}

std::optional<BlockMapError> CheckEnvelope(std::string_view object) {
  if (object.size() > kMaxBlockMapBytes) {
    return BlockMapError::kTooLarge;
  }

  if (object.size() < kMagic.size() + kLengthBytes + kChecksumBytes) {
    return BlockMapError::kTruncated;
  }

  if (!object.starts_with(kMagic)) {
    return BlockMapError::kWrongMagic;
  }

  const std::string_view body =
      object.substr(0, object.size() - kChecksumBytes);
  const auto checksum = ReadNumber<std::uint64_t>(object.substr(body.size()));
  if (XXH3_64bits(body.data(), body.size()) != checksum) {
    return BlockMapError::kWrongChecksum;
  }

  return std::nullopt;
}

}  // namespace

Result<ParsedObject, BlockMapError> ParseObject(std::string_view object) {
  if (const auto error = CheckEnvelope(object)) {
    return *error;
  }

  std::string_view rest = object.substr(
      kMagic.size(), object.size() - kMagic.size() - kChecksumBytes);
  const std::size_t header_bytes = ReadNumber<std::uint32_t>(rest);
  rest.remove_prefix(kLengthBytes);
  if (header_bytes > kMaxHeaderBytes) {
    return BlockMapError::kMalformedHeader;
  }

  if (header_bytes > rest.size()) {
    return BlockMapError::kTruncated;
  }

  auto header = ReadHeader(rest.substr(0, header_bytes));
  if (!IsOk(header)) {
    return ErrorOf(header);
  }
  rest.remove_prefix(header_bytes);

  const std::size_t ipv4_bytes =
      ValueOf(header).ipv4 * kRecordBytes<std::uint32_t>;
  const std::size_t ipv6_bytes =
      ValueOf(header).ipv6 * kRecordBytes<std::uint64_t>;
  if (rest.size() < ipv4_bytes + ipv6_bytes) {
    return BlockMapError::kTruncated;
  }

  if (rest.size() > ipv4_bytes + ipv6_bytes) {
    return BlockMapError::kTrailingBytes;
  }

  return ParsedObject{.header = TakeValue(std::move(header)),
                      .ipv4 = rest.substr(0, ipv4_bytes),
                      .ipv6 = rest.substr(ipv4_bytes)};
}

}  // namespace medlarcroft::steering::block_map_format
