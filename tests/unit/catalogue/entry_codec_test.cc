#include "medlarcroft/catalogue/entry_codec.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace medlarcroft::catalogue {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view kTarget =
    R"({"name":"d-1","failure_domain":"a","address":"127.0.0.1:80","slots":7})";

std::string Service(std::string_view targets,
                    const std::string& more = std::string()) {
  return R"({"kind":"service","service":"desk","request_class":)"
         R"({"name":"lookup","key_mode":"none"},"brands":[{"brand":"b"}],)"
         R"("targets":[)" +
         std::string(targets) + "]" + more + "}";
}

struct FaultCase {
  std::string name;
  std::string document;
  std::string path;
  FaultCode code;
};

void PrintTo(const FaultCase& fault_case, std::ostream* out) {
  *out << fault_case.name;
}

class EntryFaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(EntryFaultTest, ReportsPathAndAllowedValues) {
  const auto entry = ParseEntry(GetParam().document, UnknownFields::kRefuse);

  ASSERT_FALSE(IsOk(entry));
  ASSERT_EQ(ErrorOf(entry).size(), 1U);
  EXPECT_EQ(ErrorOf(entry)[0].path, GetParam().path);
  EXPECT_EQ(ErrorOf(entry)[0].code, GetParam().code)
      << NameOf(ErrorOf(entry)[0].code);
  EXPECT_FALSE(ErrorOf(entry)[0].allowed.empty());
}

std::vector<FaultCase> FaultCases() {
  return {
      {"Empty", "", "", FaultCode::kNotJson},
      {"List", "[]", "", FaultCode::kNotJson},
      {"Truncated", R"({"kind":"drain")", "", FaultCode::kNotJson},
      {"NotUtf8", "{\"kind\":\"\xff\"}", "", FaultCode::kNotJson},
      {"TooDeep",
       R"({"a":)" + std::string(20, '[') + std::string(20, ']') + "}", "",
       FaultCode::kNotJson},
      {"TooLarge", std::string(kMaxEntryBytes + 1, ' '), "",
       FaultCode::kTooLarge},
      {"DuplicateKey", R"({"kind":"drain","kind":"link"})", "",
       FaultCode::kDuplicate},
      {"NoKind", R"({"from":"a"})", "kind", FaultCode::kMissing},
      {"UnknownKind", R"({"kind":"host"})", "kind", FaultCode::kUnknownChoice},
      {"NumberAsKind", R"({"kind":3})", "kind", FaultCode::kWrongType},
      {"NoSubjectName", R"({"kind":"drain","subject":"host"})", "name",
       FaultCode::kMissing},
      {"BadName", R"({"kind":"drain","subject":"host","name":"a/b"})", "name",
       FaultCode::kBadFormat},
      {"LongName",
       R"({"kind":"drain","subject":"host","name":")" + std::string(129, 'a') +
           "\"}",
       "name", FaultCode::kBadFormat},
      {"UnknownField", Service(kTarget, R"(,"slot":3)"), "slot",
       FaultCode::kUnknownField},
      {"HeadroomOutOfRange", Service(kTarget, R"(,"reserved_headroom":1.5)"),
       "reserved_headroom", FaultCode::kOutOfRange},
      {"NegativeWeight", Service(kTarget, R"(,"weights":{"latency":-1})"),
       "weights.latency", FaultCode::kOutOfRange},
      {"TextAsTtl", Service(kTarget, R"(,"lookup_ttl_ms":"5s")"),
       "lookup_ttl_ms", FaultCode::kWrongType},
      {"FractionalTtl", Service(kTarget, R"(,"lookup_ttl_ms":500.5)"),
       "lookup_ttl_ms", FaultCode::kWrongType},
      {"TtlBeyond64Bits",
       Service(kTarget, R"(,"lookup_ttl_ms":18446744073709551615)"),
       "lookup_ttl_ms", FaultCode::kOutOfRange},
      {"NoSlots",
       Service(
           R"({"name":"d","failure_domain":"a","address":"1.2.3.4:5","slots":0})"),
       "targets[0].slots", FaultCode::kOutOfRange},
      {"HostNameAsAddress",
       Service(
           R"({"name":"d","failure_domain":"a","address":"host:80","slots":1})"),
       "targets[0].address", FaultCode::kBadFormat},
      {"PortOutOfRange",
       Service(
           R"({"name":"d","failure_domain":"a","address":"1.2.3.4:70000","slots":1})"),
       "targets[0].address", FaultCode::kBadFormat},
      {"DuplicateTarget",
       Service(std::string(kTarget) + "," + std::string(kTarget)),
       "targets[1].name", FaultCode::kDuplicate},
      {"TextAsTarget", Service("\"d\""), "targets[0]", FaultCode::kWrongType},
      {"LinkToItself",
       R"({"kind":"link","from":"a","to":"a","latency_us":500,"capacity":1,)"
       R"("shift_step":1,"shift_window_ms":1000})",
       "to", FaultCode::kBadFormat},
      {"EmptyOwner", Service(kTarget, R"(,"owner":"")"), "owner",
       FaultCode::kBadFormat},
  };
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EntryFaultTest,
                         testing::ValuesIn(FaultCases()),
                         [](const auto& tested) { return tested.param.name; });

TEST(EntryCodecTest, ReportsAllFaultsAtOnce) {
  const auto entry = ParseEntry(
      R"({"kind":"link","from":3,"to":"b","latency_us":-1,"shift_step":"x",)"
      R"("shift_window_ms":1000,"limit":9})",
      UnknownFields::kRefuse);

  ASSERT_FALSE(IsOk(entry));
  std::vector<std::string> paths;
  for (const FieldFault& fault : ErrorOf(entry)) {
    paths.push_back(fault.path);
  }
  EXPECT_EQ(paths, (std::vector<std::string>{"from", "latency_us", "capacity",
                                             "shift_step", "limit"}));
}

TEST(EntryCodecTest, ReadsUnitsAndKeepsDefaults) {
  const auto entry = ParseEntry(
      Service(kTarget, R"(,"lookup_ttl_ms":2500,"weights":{"latency":5})"),
      UnknownFields::kRefuse);

  ASSERT_TRUE(IsOk(entry));
  const auto& service = std::get<ServiceEntry>(ValueOf(entry).body);
  EXPECT_EQ(service.lookup_ttl, milliseconds(2500));
  EXPECT_EQ(service.weights.latency, 5);
  EXPECT_EQ(service.weights.headroom, ObjectiveWeights().headroom);
  EXPECT_EQ(service.targets.at(0).slots, 7U);
  EXPECT_EQ(service.targets.at(0).max_connections, 330U);
}

// A host of this version reads a row that a newer version has stored. It must
// use the entry: rejecting it would keep every older host at that revision for
// the whole duration of an upgrade.
TEST(EntryCodecTest, IgnoresStoredFieldsOfNewerVersion) {
  const std::string document = Service(
      std::string(kTarget.substr(0, kTarget.size() - 1)) + R"(,"warmth":0.5})",
      R"(,"x":1)");

  EXPECT_FALSE(IsOk(ParseEntry(document, UnknownFields::kRefuse)));
  EXPECT_TRUE(IsOk(ParseEntry(document, UnknownFields::kIgnore)));
}

TEST(EntryCodecTest, KeepsSubMillisecondLinkLatency) {
  const Entry link{.name = EntryName("link.a.b"),
                   .owner = OwnerName("net"),
                   .version = 3,
                   .revision = 9,
                   .body = LinkEntry{.from = FailureDomainName("a"),
                                     .to = FailureDomainName("b"),
                                     .latency = microseconds(500)}};

  const auto read = ParseEntry(FormatEntry(link), UnknownFields::kRefuse);

  ASSERT_TRUE(IsOk(read));
  EXPECT_EQ(ValueOf(read).name, link.name);
  EXPECT_EQ(ValueOf(read).owner, link.owner);
  EXPECT_EQ(ValueOf(read).version, 3U);
  EXPECT_EQ(ValueOf(read).revision, 9U);
  EXPECT_EQ(std::get<LinkEntry>(ValueOf(read).body).latency, microseconds(500));
}

TEST(EntryCodecTest, CorpusRoundTrips) {
  const std::filesystem::path corpus =
      std::filesystem::path(MEDLARCROFT_SOURCE_DIR) /
      "tests/fuzz/corpus/entry_codec";
  std::size_t accepted = 0;
  for (const auto& file : std::filesystem::directory_iterator(corpus)) {
    std::ostringstream text;
    text << std::ifstream(file.path()).rdbuf();
    const auto entry = ParseEntry(text.str(), UnknownFields::kRefuse);
    if (!IsOk(entry)) {
      continue;
    }
    ++accepted;
    const std::string formatted = FormatEntry(ValueOf(entry));
    const auto again = ParseEntry(formatted, UnknownFields::kRefuse);
    ASSERT_TRUE(IsOk(again));
    EXPECT_EQ(FormatEntry(ValueOf(again)), formatted);
  }
  EXPECT_EQ(accepted, 4U);
}

}  // namespace
}  // namespace medlarcroft::catalogue
