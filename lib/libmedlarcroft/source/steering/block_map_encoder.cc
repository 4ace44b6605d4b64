#include <xxhash.h>

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "block_map_format.h"
#include "medlarcroft/steering/block_map_codec.h"

namespace medlarcroft::steering {

namespace {

using block_map_format::kChecksumBytes;
using block_map_format::kLengthBytes;
using block_map_format::kMagic;
using block_map_format::kRecordBytes;

template <typename Number>
void AppendNumber(std::string& out, Number number) {
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) {
    out.push_back(static_cast<char>((number >> (8U * byte)) & 0xFFU));
  }
}

template <typename Key>
void AppendBlocks(std::string& out, const std::vector<Prefix<Key>>& blocks) {
  for (const Prefix<Key>& block : blocks) {
    AppendNumber(out, block.start);
    AppendNumber(out, block.length);
    AppendNumber(out, block.value);
  }
}

nlohmann::json MakeHeader(const BlockMapContent& content) {
  std::vector<std::string> domains;
  std::map<FailureDomainName, std::size_t> indices;
  nlohmann::json sites = nlohmann::json::array();

  for (const Site& site : content.sites) {
    nlohmann::json order = nlohmann::json::array();

    for (const FailureDomainName& domain : site.failure_domains) {
      const auto [found, is_new] = indices.try_emplace(domain, domains.size());
      if (is_new) {
        domains.push_back(domain.Value());
      }
      order.push_back(found->second);
    }

    sites.push_back({{"name", site.name}, {"domains", std::move(order)}});
  }

  return {{"version", content.version},
          {"domains", std::move(domains)},
          {"sites", std::move(sites)},
          {"ipv4", content.ipv4.size()},
          {"ipv6", content.ipv6.size()}};
}

std::string Encode(const nlohmann::json& header,
                   const BlockMapContent& content) {
  const std::string header_text = header.dump();
  std::string object(kMagic);
  object.reserve(kMagic.size() + kLengthBytes + header_text.size() +
                 content.ipv4.size() * kRecordBytes<std::uint32_t> +
                 content.ipv6.size() * kRecordBytes<std::uint64_t> +
                 kChecksumBytes);
  AppendNumber(object, static_cast<std::uint32_t>(header_text.size()));
  object += header_text;
  AppendBlocks(object, content.ipv4);
  AppendBlocks(object, content.ipv6);
  AppendNumber(object, static_cast<std::uint64_t>(
                           XXH3_64bits(object.data(), object.size())));
  return object;
}

}  // namespace

std::string EncodeBlockMap(const BlockMapContent& content) {
  return Encode(MakeHeader(content), content);
}

std::string EncodeBlockMapDelta(const BlockMapContent& changes,
                                std::uint64_t base_version) {
  nlohmann::json header = MakeHeader(changes);
  header["base_version"] = base_version;
  return Encode(header, changes);
}

}  // namespace medlarcroft::steering
