#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <unordered_map>

#include "allocation_counter.h"
#include "medlarcroft/steering/block_map_codec.h"
#include "reference_sort.h"

namespace medlarcroft::benchmarks {
namespace {

using steering::BlockMap;
using steering::BlockMapContent;
using steering::ClientAddress;

constexpr std::size_t kIpv4Blocks = 1'000'000;
constexpr std::size_t kIpv6Blocks = 600'000;
constexpr int kSites = 260;
constexpr std::size_t kProbes = 1U << 16U;
constexpr double kMegabyte = 1e6;

/// Generates address blocks as allocated by registries: most IPv4 blocks are
/// /24, some /16 to /23 with smaller ones inside; IPv6 blocks are /48 inside
/// /32.
BlockMapContent MakeContent(std::size_t ipv4, std::size_t ipv6) {
  std::mt19937_64 engine(20261202);
  const auto draw = [&](std::uint64_t bound) { return engine() % bound; };
  const auto site = [&] { return static_cast<std::uint16_t>(draw(kSites)); };
  BlockMapContent content{.version = 1};
  for (int number = 0; number < kSites; ++number) {
    content.sites.push_back(
        {"site-" + std::to_string(number),
         {FailureDomainName("r1-a"), FailureDomainName("r1-b"),
          FailureDomainName("r2-a")}});
  }

  std::map<std::pair<std::uint32_t, std::uint8_t>, std::uint16_t> blocks4;
  while (blocks4.size() < ipv4) {
    const bool is_wide = draw(10) == 0;
    const auto length = static_cast<std::uint8_t>(is_wide ? 16 + draw(8) : 24);
    const auto start = static_cast<std::uint32_t>(
        draw(1ULL << 32U) >> (32U - length) << (32U - length));
    blocks4[{start, length}] = site();
  }
  for (const auto& [key, value] : blocks4) {
    content.ipv4.push_back({key.first, key.second, value});
  }

  std::map<std::pair<std::uint64_t, std::uint8_t>, std::uint16_t> blocks6;
  while (blocks6.size() < ipv6) {
    const std::uint64_t region = 0x2000'0000ULL + draw(20'000) * 0x1000;
    const bool is_wide = draw(50) == 0;
    const std::uint64_t start =
        (region << 32U) | (is_wide ? 0 : draw(1U << 16U) << 16U);
    blocks6[{start, is_wide ? 32 : 48}] = site();
  }
  for (const auto& [key, value] : blocks6) {
    content.ipv6.push_back({key.first, key.second, value});
  }
  return content;
}

const BlockMapContent& Content() {
  static const BlockMapContent content = MakeContent(kIpv4Blocks, kIpv6Blocks);
  return content;
}

const std::string& Object() {
  static const std::string object = EncodeBlockMap(Content());
  return object;
}

const BlockMap& Map() {
  static const BlockMap map = TakeValue(steering::DecodeBlockMap(Object()));
  return map;
}

/// Client addresses, half from the IPv4 blocks and half from the IPv6 blocks,
/// in random order, so that hardly any two share a cache line.
const std::vector<ClientAddress>& Probes() {
  static const std::vector<ClientAddress> probes = [] {
    std::mt19937_64 engine(7);
    std::vector<ClientAddress> drawn;
    for (std::size_t probe = 0; probe < kProbes; ++probe) {
      if (probe % 2 == 0) {
        const auto& block = Content().ipv4[engine() % Content().ipv4.size()];
        drawn.push_back(
            {steering::AddressFamily::kIpv4, block.start | (engine() & 0xFFU)});
      } else {
        const auto& block = Content().ipv6[engine() % Content().ipv6.size()];
        drawn.push_back({steering::AddressFamily::kIpv6,
                         block.start | (engine() & 0xFFFFU)});
      }
    }
    return drawn;
  }();
  return probes;
}

void FindSite(benchmark::State& state) {
  const BlockMap& map = Map();
  const auto& probes = Probes();
  std::size_t probe = 0;

  for (auto iteration : state) {
    (void)iteration;
    benchmark::DoNotOptimize(map.FindSite(probes[probe++ % kProbes]));
  }
  state.counters["map_megabytes"] =
      static_cast<double>(map.MemoryBytes()) / kMegabyte;
  state.counters["object_megabytes"] =
      static_cast<double>(Object().size()) / kMegabyte;
}
BENCHMARK(FindSite);

/// Baseline: one hash table for each prefix length, probed from the longest.
struct HashTables {
  std::array<std::unordered_map<std::uint64_t, std::uint16_t>, 65> ipv4;
  std::array<std::unordered_map<std::uint64_t, std::uint16_t>, 65> ipv6;

  template <std::size_t width, typename Tables>
  static std::optional<std::uint16_t> Find(const Tables& tables,
                                           std::uint64_t key) {
    for (std::size_t length = width; length > 0; --length) {
      const auto& table = tables[length];
      if (table.empty()) {
        continue;
      }
      const std::uint64_t start = key >> (width - length) << (width - length);
      if (const auto found = table.find(start); found != table.end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }
};

void FindSiteInHashTables(benchmark::State& state) {
  const std::size_t before = live_bytes;
  HashTables tables;
  for (const auto& block : Content().ipv4) {
    tables.ipv4[block.length][block.start] = block.value;
  }
  for (const auto& block : Content().ipv6) {
    tables.ipv6[block.length][block.start] = block.value;
  }
  state.counters["map_megabytes"] =
      static_cast<double>(live_bytes - before) / kMegabyte;

  const auto& probes = Probes();
  std::size_t probe = 0;
  for (auto iteration : state) {
    (void)iteration;
    const ClientAddress& address = probes[probe++ % kProbes];
    benchmark::DoNotOptimize(
        address.family == steering::AddressFamily::kIpv4
            ? HashTables::Find<32>(tables.ipv4, address.bits)
            : HashTables::Find<64>(tables.ipv6, address.bits));
  }
}
BENCHMARK(FindSiteInHashTables);

/// Decodes a complete object while another map is in use. Argument: thousands
/// of blocks.
void Decode(benchmark::State& state) {
  const auto blocks = static_cast<std::size_t>(state.range(0)) * 1000;
  const std::string object =
      EncodeBlockMap(MakeContent(blocks * 5 / 8, blocks * 3 / 8));
  const std::size_t before = live_bytes;
  peak_bytes = before;

  for (auto iteration : state) {
    (void)iteration;
    benchmark::DoNotOptimize(steering::DecodeBlockMap(object));
  }
  state.counters["peak_megabytes"] =
      static_cast<double>(peak_bytes - before) / kMegabyte;
  state.counters["object_megabytes"] =
      static_cast<double>(object.size()) / kMegabyte;
}
BENCHMARK(Decode)->Arg(100)->Arg(400)->Arg(1600)->Unit(benchmark::kMillisecond);

/// Applies a delta to a map of 1.6 million blocks. Argument: changed blocks.
void ApplyDelta(benchmark::State& state) {
  BlockMapContent changes{.version = 2, .sites = Content().sites};
  const auto count = static_cast<std::size_t>(state.range(0));
  for (std::size_t index = 0; index < count; ++index) {
    changes.ipv4.push_back(Content().ipv4[index * (kIpv4Blocks / count)]);
    changes.ipv4.back().value = static_cast<std::uint16_t>(index % kSites);
  }
  const std::string object = EncodeBlockMapDelta(changes, 1);
  const BlockMap& base = Map();
  const std::size_t before = live_bytes;
  peak_bytes = before;

  for (auto iteration : state) {
    (void)iteration;
    benchmark::DoNotOptimize(steering::ApplyBlockMapDelta(base, object));
  }
  state.counters["peak_megabytes"] =
      static_cast<double>(peak_bytes - before) / kMegabyte;
  state.counters["object_kilobytes"] = static_cast<double>(object.size()) / 1e3;
}
BENCHMARK(ApplyDelta)->Arg(100)->Arg(10000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace medlarcroft::benchmarks
