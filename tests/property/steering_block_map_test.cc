#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>

#include "medlarcroft/steering/prefix_table.h"

namespace medlarcroft::steering {
namespace {

using Table = PrefixTable<std::uint32_t>;
using Block = Prefix<std::uint32_t>;
using Blocks = std::map<std::pair<std::uint32_t, std::uint8_t>, std::uint16_t>;

/// Few distinct bits at both ends, so that blocks often nest and touch,
/// including the first and the last address.
std::uint32_t DrawAddress() {
  const auto high = *rc::gen::elementOf(
      std::vector<std::uint32_t>{0, 0x0A000000, 0x0A010000, 0xFFFFFF00});
  return high | *rc::gen::inRange<std::uint32_t>(0, 256);
}

Blocks DrawBlocks() {
  Blocks blocks;
  const int count = *rc::gen::inRange(0, 200);

  for (int index = 0; index < count; ++index) {
    const auto length =
        static_cast<std::uint8_t>(*rc::gen::inRange<int>(0, 33));
    const std::uint32_t start = DrawAddress() & ~Block::HostMask(length);
    blocks[{start, length}] = *rc::gen::arbitrary<std::uint16_t>();
  }
  return blocks;
}

std::optional<std::uint16_t> FindByScan(const Blocks& blocks,
                                        std::uint32_t key) {
  std::optional<std::uint16_t> value;
  int longest = -1;
  for (const auto& [block, number] : blocks) {
    const Block prefix{block.first, block.second, number};
    const bool holds = prefix.start <= key && key <= prefix.End();
    if (holds && block.second > longest) {
      longest = block.second;
      value = number;
    }
  }
  return value;
}

TEST(PrefixTableProperties, FindsWhatAScanOfAllBlocksFinds) {
  EXPECT_TRUE(rc::check([] {
    const Blocks blocks = DrawBlocks();
    PrefixTableBuilder<std::uint32_t> builder;
    for (const auto& [block, value] : blocks) {
      RC_ASSERT(builder.Add({block.first, block.second, value}));
    }
    const Table table = builder.Finish();
    RC_ASSERT(table.Size() == blocks.size());

    Blocks visited;
    table.ForEach([&](const Block& block) {
      visited[{block.start, block.length}] = block.value;
    });
    RC_ASSERT(visited == blocks);

    for (int probe = 0; probe < 50; ++probe) {
      const std::uint32_t key = DrawAddress();
      RC_ASSERT(table.Find(key) == FindByScan(blocks, key));
    }
  }));
}

}  // namespace
}  // namespace medlarcroft::steering
