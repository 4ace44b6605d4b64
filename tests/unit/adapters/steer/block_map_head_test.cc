#include <gtest/gtest.h>

#include "adapters/steer/platform_poller.h"

namespace medlarcroft::adapters {
namespace {

struct BlockMapHeadCase {
  const char* name;
  std::string_view text;
  std::optional<std::uint64_t> version;
};

class BlockMapHeadTest : public testing::TestWithParam<BlockMapHeadCase> {};

// Guards against a damaged head being taken for an old version: hosts kept
// their block map for good, and nothing said so.
TEST_P(BlockMapHeadTest, OnlyAWholeNumberIsAVersion) {
  EXPECT_EQ(ParseBlockMapVersion(GetParam().text), GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(
    Heads,
    BlockMapHeadTest,
    testing::Values(BlockMapHeadCase{"Number", "12", 12},
                    BlockMapHeadCase{"Empty", "", std::nullopt},
                    BlockMapHeadCase{"Text", "latest", std::nullopt},
                    BlockMapHeadCase{"NumberWithRest", "12 old", std::nullopt},
                    BlockMapHeadCase{"Zero", "0", std::nullopt},
                    BlockMapHeadCase{"Negative", "-3", std::nullopt},
                    BlockMapHeadCase{"TooLarge", "18446744073709551616",
                                     std::nullopt}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace medlarcroft::adapters
