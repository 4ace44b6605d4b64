#include "medlarcroft/steering/block_map_codec.h"

#include <gtest/gtest.h>
#include <xxhash.h>

#include <functional>

#include "medlarcroft/steering/block_map_holder.h"
#include "unit/steering/steering_fixture.h"

namespace medlarcroft::steering {
namespace {

BlockMapContent SmallContent() {
  return {
      .version = 5,
      .sites = {{"huye", {FailureDomainName("hy-tumba")}},
                {"kigali",
                 {FailureDomainName("kg-nyarugenge"),
                  FailureDomainName("kg-kicukiro")}}},
      .ipv4 = {{0x0A000000, 8, 0}, {0x0A010000, 16, 1}, {0x0A010200, 24, 0}},
      .ipv6 = {{0x2001'0DB8'0000'0000, 32, 1}}};
}

BlockMapContent ChangesTo(std::uint64_t version) {
  BlockMapContent changes = SmallContent();
  changes.version = version;
  changes.ipv4.clear();
  changes.ipv6.clear();
  return changes;
}

BlockMap SmallMap() {
  return TakeValue(DecodeBlockMap(EncodeBlockMap(SmallContent())));
}

ClientAddress Ipv4(std::uint32_t bits) {
  return {AddressFamily::kIpv4, bits};
}

/// Recomputes the checksum, so that a damaged object reaches the check under
/// test.
void UpdateChecksum(std::string& object) {
  object.resize(object.size() - 8);
  const std::uint64_t checksum = XXH3_64bits(object.data(), object.size());
  for (unsigned byte = 0; byte < 8; ++byte) {
    object.push_back(static_cast<char>((checksum >> (8U * byte)) & 0xFFU));
  }
}

void ReplaceInHeader(std::string& object,
                     std::string_view old_text,
                     std::string_view new_text) {
  ASSERT_EQ(old_text.size(), new_text.size());
  const std::size_t at = object.find(old_text);
  ASSERT_NE(at, std::string::npos);
  object.replace(at, old_text.size(), new_text);
  UpdateChecksum(object);
}

TEST(BlockMapCodec, FindsLongestMatchingBlockOfAddress) {
  const BlockMap map = SmallMap();

  EXPECT_EQ(map.Version(), 5U);
  EXPECT_EQ(map.FindSite(Ipv4(0x0A000001)), SiteId{0});
  EXPECT_EQ(map.FindSite(Ipv4(0x0A0101FF)), SiteId{1});
  EXPECT_EQ(map.FindSite(Ipv4(0x0A010201)), SiteId{0});
  EXPECT_EQ(map.FindSite(Ipv4(0x0A010300)), SiteId{1});  // Resumed prefix.
  EXPECT_EQ(map.FindSite(Ipv4(0x0A020000)), SiteId{0});
  EXPECT_EQ(map.FindSite(Ipv4(0x0B000000)), std::nullopt);
  EXPECT_EQ(map.FindSite({AddressFamily::kIpv6, 0x2001'0DB8'1234'5678}),
            SiteId{1});
  EXPECT_EQ(map.FindDomains(Ipv4(0x0A0101FF)).size(), 2U);
}

TEST(BlockMapCodec, TreatsMappedIpv4AddressAsIpv4) {
  const std::array<std::uint8_t, 16> mapped = {0, 0, 0,    0,    0,  0, 0, 0,
                                               0, 0, 0xFF, 0xFF, 10, 1, 2, 3};
  EXPECT_EQ(ClientAddress::FromIpv6(mapped), Ipv4(0x0A010203));
}

struct InvalidObjectCase {
  const char* name;
  std::function<void(std::string&)> make_invalid;
  BlockMapError error;
};

class InvalidBlockMapObject
    : public ::testing::TestWithParam<InvalidObjectCase> {};

TEST_P(InvalidBlockMapObject, IsRejectedWithItsError) {
  std::string object = EncodeBlockMap(SmallContent());
  GetParam().make_invalid(object);

  const auto result = DecodeBlockMap(object);

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result), GetParam().error) << ToString(ErrorOf(result));
}

void Encode(std::string& object,
            const std::function<void(BlockMapContent&)>& change) {
  BlockMapContent content = SmallContent();
  change(content);
  object = EncodeBlockMap(content);
}

using enum BlockMapError;

INSTANTIATE_TEST_SUITE_P(
    InvalidObjects,
    InvalidBlockMapObject,
    ::testing::Values(
        InvalidObjectCase{"Empty", [](auto& object) { object.clear(); },
                          kTruncated},
        InvalidObjectCase{
            "Huge", [](auto& object) { object.resize(kMaxBlockMapBytes + 1); },
            kTooLarge},
        InvalidObjectCase{"Magic", [](auto& object) { object[0] = 'X'; },
                          kWrongMagic},
        InvalidObjectCase{"FlippedBit", [](auto& object) { object[40] ^= 1; },
                          kWrongChecksum},
        InvalidObjectCase{"CutShort",
                          [](auto& object) {
                            object.erase(object.size() - 20, 11);
                            UpdateChecksum(object);
                          },
                          kTruncated},
        InvalidObjectCase{"HeaderLength",
                          [](auto& object) {
                            object[10] = '\x7F';
                            UpdateChecksum(object);
                          },
                          kMalformedHeader},
        InvalidObjectCase{"HeaderBeyondEnd",
                          [](auto& object) {
                            object[9] = '\x70';
                            UpdateChecksum(object);
                          },
                          kTruncated},
        InvalidObjectCase{
            "HeaderJson",
            [](auto& object) { ReplaceInHeader(object, "{\"d", "[\"d"); },
            kMalformedHeader},
        InvalidObjectCase{"NoVersion",
                          [](auto& object) {
                            ReplaceInHeader(object, "\"version\"",
                                            "\"versiom\"");
                          },
                          kMalformedHeader},
        InvalidObjectCase{"CountTooHigh",
                          [](auto& object) {
                            ReplaceInHeader(object, "\"ipv4\":3", "\"ipv4\":9");
                          },
                          kTruncated},
        InvalidObjectCase{"CountTooLow",
                          [](auto& object) {
                            ReplaceInHeader(object, "\"ipv4\":3", "\"ipv4\":2");
                          },
                          kTrailingBytes},
        InvalidObjectCase{
            "UnknownDomain",
            [](auto& object) { ReplaceInHeader(object, "[1,2]", "[1,9]"); },
            kUnknownDomain},
        InvalidObjectCase{"UnknownSite",
                          [](auto& object) {
                            Encode(object,
                                   [](auto& map) { map.ipv4[0].value = 2; });
                          },
                          kUnknownSite},
        InvalidObjectCase{"TooManySites",
                          [](auto& object) {
                            Encode(object, [](auto& map) {
                              map.sites.resize(kMaxSites + 1);
                            });
                          },
                          kTooManySites},
        InvalidObjectCase{"HostBits",
                          [](auto& object) {
                            Encode(object,
                                   [](auto& map) { map.ipv4[0].start |= 1U; });
                          },
                          kMalformedBlock},
        InvalidObjectCase{"LengthOutOfRange",
                          [](auto& object) {
                            Encode(object,
                                   [](auto& map) { map.ipv4[2].length = 33; });
                          },
                          kMalformedBlock},
        InvalidObjectCase{"OutOfOrder",
                          [](auto& object) {
                            Encode(object, [](auto& map) {
                              std::swap(map.ipv4[0], map.ipv4[2]);
                            });
                          },
                          kMalformedBlock},
        InvalidObjectCase{"Duplicate",
                          [](auto& object) {
                            Encode(object, [](auto& map) {
                              map.ipv4[1] = map.ipv4[0];
                            });
                          },
                          kMalformedBlock},
        InvalidObjectCase{
            "ADelta",
            [](auto& object) { object = EncodeBlockMapDelta(ChangesTo(6), 5); },
            kNotFull}),
    [](const auto& info) { return info.param.name; });

TEST(BlockMapCodec, DeltaAddsChangesAndRemovesBlocks) {
  BlockMapContent changes = ChangesTo(6);
  changes.ipv4 = {
      {0x0A000000, 8, kRemovedBlock}, {0x0A010000, 16, 0}, {0x0B000000, 8, 1}};

  const auto result =
      ApplyBlockMapDelta(SmallMap(), EncodeBlockMapDelta(changes, 5));

  ASSERT_TRUE(IsOk(result));
  const BlockMap& map = ValueOf(result);
  EXPECT_EQ(map.Version(), 6U);
  EXPECT_EQ(map.Ipv4().Size(), 3U);
  EXPECT_EQ(map.FindSite(Ipv4(0x0A020000)), std::nullopt);
  EXPECT_EQ(map.FindSite(Ipv4(0x0A010001)), SiteId{0});
  EXPECT_EQ(map.FindSite(Ipv4(0x0B000001)), SiteId{1});
  EXPECT_EQ(map.Ipv6().Size(), 1U);
}

struct RejectedDeltaCase {
  const char* name;
  std::uint64_t base;
  std::uint64_t version;
  std::vector<Prefix<std::uint32_t>> ipv4;
  BlockMapError error;
};

class RejectedDelta : public ::testing::TestWithParam<RejectedDeltaCase> {};

TEST_P(RejectedDelta, ReturnsTheError) {
  BlockMapContent changes = ChangesTo(GetParam().version);
  changes.ipv4 = GetParam().ipv4;

  const auto result = ApplyBlockMapDelta(
      SmallMap(), EncodeBlockMapDelta(changes, GetParam().base));

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Deltas,
    RejectedDelta,
    ::testing::Values(RejectedDeltaCase{"OtherBase", 4, 6, {}, kWrongBase},
                      RejectedDeltaCase{"SameVersion", 5, 5, {}, kNotNewer},
                      RejectedDeltaCase{"RemovesUnknownBlock",
                                        5,
                                        6,
                                        {{0x0C000000, 8, kRemovedBlock}},
                                        kUnknownBlock},
                      RejectedDeltaCase{"UnknownSite",
                                        5,
                                        6,
                                        {{0x0C000000, 8, 7}},
                                        kUnknownSite},
                      RejectedDeltaCase{
                          "OutOfOrder",
                          5,
                          6,
                          {{0x0C000000, 8, 1}, {0x0B000000, 8, 1}},
                          kMalformedBlock}),
    [](const auto& info) { return info.param.name; });

// A stale read of the head row names version 5 while version 6 is in use, or
// two fetches finish in the wrong order. Callers must not be steered by the
// older map again.
TEST(BlockMapHolder, NeverReplacesNewerMapByOlder) {
  BlockMapHolder holder;
  EXPECT_TRUE(IsOk(holder.Adopt(BlockMap(6, {}, {}, {}))));

  const auto older = holder.Adopt(SmallMap());

  ASSERT_FALSE(IsOk(older));
  EXPECT_EQ(ErrorOf(older), kNotNewer);
  EXPECT_EQ(holder.Current()->Version(), 6U);
}

// If look-ups skipped a domain as soon as it is drained, all of its callers
// would move to the next domain within one TTL.
TEST(BlockMap, FindNearestReturnsFirstKnownDomainEvenIfDrained) {
  const BlockMap map = SmallMap();
  const auto nearest = [&](const fixture::CatalogueBuilder& builder) {
    return map.FindNearest(Ipv4(0x0A010001), *builder.Build());
  };
  fixture::CatalogueBuilder builder;
  EXPECT_EQ(nearest(builder), std::nullopt);

  builder.AddDomain("kg-kicukiro", "kigali");
  EXPECT_EQ(nearest(builder), FailureDomainName("kg-kicukiro"));

  builder.AddDomain("kg-nyarugenge", "kigali");
  builder.AddDrain(catalogue::DrainSubject::kFailureDomain, "kg-nyarugenge");
  EXPECT_EQ(nearest(builder), FailureDomainName("kg-nyarugenge"));
}

}  // namespace
}  // namespace medlarcroft::steering
