#include "platform/configuration_decoder.h"

#include <gtest/gtest.h>

#include <string>

namespace medlarcroft::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kConfiguration =
    R"({"version":7,"added":1,"resources":[
 {"resource_kind":"routes","metadata":{"name":"r-1"},"spec":{"host":"Menus.example","prefix":"/a/",
  "kind":"idempotent","timeout":"1200ms","target_latency":"0.6s","priority":2,
  "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
  "max_attempts":2,"sticky":true,"public":true,"allowed_regions":["kigali"]}},
 {"resource_kind":"routes","metadata":{"name":"r-2"},"spec":{"host":"orders.example","prefix":"/",
  "kind":"non_idempotent","timeout":"1500ms","service":"s3"}},
 {"resource_kind":"services","metadata":{"name":"s1"},"spec":{"health_path":"/h","max_connections":330,
  "cold":"3s","cold_per_s":5.6}},
 {"resource_kind":"tenants","metadata":{"name":"schools"},"spec":{"api_keys":["key-1","key-2"],"priority":0,
  "rate_per_s":399.5,"burst_size":40,"allowed_regions":["huye"]}},
 {"resource_kind":"tenants","metadata":{"name":"canteens"},"spec":{"api_keys":["key-3"]}},
 {"resource_kind":"novelties","metadata":{},"spec":{}},
 {"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1000,
  "header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";

TEST(ConfigurationDecoderTest, ReadsRoutesServicesAndLimits) {
  const auto decoded = DecodeConfiguration(kConfiguration);
  ASSERT_TRUE(IsOk(decoded));
  const routing::RoutingConfiguration& configuration = ValueOf(decoded);

  EXPECT_EQ(configuration.version, 7U);
  ASSERT_EQ(configuration.routes.size(), 2U);
  const routing::Route& split = configuration.routes[0];
  EXPECT_EQ(split.host, "menus.example");
  EXPECT_EQ(split.kind, routing::RequestKind::kIdempotent);
  EXPECT_EQ(split.timeout, milliseconds(1200));
  EXPECT_EQ(split.latency_objective, milliseconds(600));
  EXPECT_EQ(split.weighted_services[1].weight, 10);
  EXPECT_TRUE(split.is_sticky);
  EXPECT_EQ(split.allowed_regions.at(0), RegionName("kigali"));
  const routing::Route& orders = configuration.routes[1];
  EXPECT_TRUE(split.is_public);
  EXPECT_FALSE(orders.is_public);
  EXPECT_EQ(orders.kind, routing::RequestKind::kNonIdempotent);
  EXPECT_EQ(orders.weighted_services.at(0).service, ServiceName("s3"));
  EXPECT_EQ(configuration.services.at(0).cold_time, seconds(3));
  EXPECT_EQ(configuration.services.at(0).cold_requests_per_second, 5.6);
  EXPECT_EQ(configuration.limits.max_body_bytes, 1000U);
}

TEST(ConfigurationDecoderTest, ReadsClientAccounts) {
  const auto decoded = DecodeConfiguration(kConfiguration);
  ASSERT_TRUE(IsOk(decoded));
  const auto& accounts = ValueOf(decoded).accounts;

  ASSERT_EQ(accounts.size(), 2U);
  EXPECT_EQ(accounts[0].name, ClientAccountName("schools"));
  EXPECT_EQ(accounts[0].keys,
            (std::vector{routing::ApiKeyDigest::Of("key-1"),
                         routing::ApiKeyDigest::Of("key-2")}));
  EXPECT_EQ(accounts[0].quota,
            (routing::Quota{.requests_per_second = 399.5, .burst = 40}));
  EXPECT_EQ(accounts[0].priority, 0);
  EXPECT_EQ(accounts[0].allowed_regions, std::vector{RegionName("huye")});
  EXPECT_TRUE(accounts[1].quota.IsUnlimited());
  EXPECT_FALSE(accounts[1].priority);
}

struct KindCase {
  std::string word;
  routing::RequestKind kind;
  bool is_known;
};

std::string ReplaceInConfiguration(std::string_view from, std::string_view to) {
  std::string text(kConfiguration);
  return text.replace(text.find(from), from.size(), to);
}

class KindTest : public testing::TestWithParam<KindCase> {};

// Guards against one unknown kind that makes all routes unusable, and against
// repeats of requests whose kind does not allow them.
TEST_P(KindTest, DecidesWhetherRequestsMayBeRepeated) {
  const auto decoded = DecodeConfiguration(
      ReplaceInConfiguration("\"idempotent\"", "\"" + GetParam().word + "\""));
  ASSERT_TRUE(IsOk(decoded));
  const auto& routes = ValueOf(decoded).routes;
  ASSERT_EQ(routes.size(), 2U);
  EXPECT_EQ(routes[0].kind, GetParam().kind);
  EXPECT_EQ(routes[0].unknown_kind.has_value(), !GetParam().is_known);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    KindTest,
    testing::Values(
        KindCase{"idempotent", routing::RequestKind::kIdempotent, true},
        KindCase{"download", routing::RequestKind::kIdempotent, true},
        KindCase{"non_idempotent", routing::RequestKind::kNonIdempotent, true},
        KindCase{"upload", routing::RequestKind::kNonIdempotent, true},
        KindCase{"perhaps", routing::RequestKind::kNonIdempotent, false}),
    [](const auto& tested) { return tested.param.word; });

struct BadInput {
  std::string name;
  std::string text;
  DecodeErrorKind problem;
};

class BadConfigurationTest : public testing::TestWithParam<BadInput> {};

TEST_P(BadConfigurationTest, IsRejectedWithTheField) {
  const auto decoded = DecodeConfiguration(GetParam().text);
  ASSERT_FALSE(IsOk(decoded));
  EXPECT_EQ(ErrorOf(decoded).problem, GetParam().problem);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadConfigurationTest,
    testing::Values(
        BadInput{"Truncated", std::string(kConfiguration.substr(0, 300)),
                 DecodeErrorKind::kNotJson},
        BadInput{"NotAnObject", "[]", DecodeErrorKind::kWrongType},
        BadInput{"NoVersion", R"({"resources":[]})", DecodeErrorKind::kMissing},
        BadInput{"NegativeVersion", R"({"version":-1,"resources":[]})",
                 DecodeErrorKind::kOutOfRange},
        BadInput{"NoResources", R"({"version":1})", DecodeErrorKind::kMissing},
        BadInput{"ResourceIsNumber", R"({"version":1,"resources":[3]})",
                 DecodeErrorKind::kWrongType},
        BadInput{"KindIsNumber", ReplaceInConfiguration("\"idempotent\"", "3"),
                 DecodeErrorKind::kWrongType},
        BadInput{"NoKind",
                 ReplaceInConfiguration("\"kind\":\"idempotent\",", ""),
                 DecodeErrorKind::kMissing},
        BadInput{"InvalidDuration", ReplaceInConfiguration("1200ms", "1200"),
                 DecodeErrorKind::kOutOfRange},
        BadInput{"NoService", ReplaceInConfiguration(R"(,"service":"s3")", ""),
                 DecodeErrorKind::kMissing},
        BadInput{
            "SplitOfNumbers",
            ReplaceInConfiguration(R"({"service":"s1","weight":90})", "90"),
            DecodeErrorKind::kWrongType},
        BadInput{"RegionIsNumber",
                 ReplaceInConfiguration(R"(["kigali"])", "[1]"),
                 DecodeErrorKind::kWrongType},
        BadInput{"AccountWithoutName",
                 ReplaceInConfiguration(R"({"name":"canteens"})", "{}"),
                 DecodeErrorKind::kMissing},
        BadInput{"AccountTwice",
                 ReplaceInConfiguration("\"canteens\"", "\"schools\""),
                 DecodeErrorKind::kDuplicate},
        BadInput{"KeyOfTwoAccounts", ReplaceInConfiguration("key-3", "key-2"),
                 DecodeErrorKind::kDuplicate},
        BadInput{"EmptyKey", ReplaceInConfiguration("key-3", ""),
                 DecodeErrorKind::kOutOfRange},
        BadInput{"KeyIsNumber", ReplaceInConfiguration(R"(["key-3"])", "[3]"),
                 DecodeErrorKind::kWrongType},
        BadInput{"NegativeRate", ReplaceInConfiguration("399.5", "-1"),
                 DecodeErrorKind::kOutOfRange},
        BadInput{
            "NegativeBurst",
            ReplaceInConfiguration(R"("burst_size":40)", R"("burst_size":-4)"),
            DecodeErrorKind::kOutOfRange},
        BadInput{
            "AccountPriorityIsText",
            ReplaceInConfiguration(R"("priority":0)", R"("priority":"high")"),
            DecodeErrorKind::kWrongType}),
    [](const auto& tested) { return tested.param.name; });

// The error is logged, and keys must not reach the log.
TEST(ConfigurationDecoderTest, ErrorsDoNotContainKeys) {
  const auto decoded =
      DecodeConfiguration(ReplaceInConfiguration("key-3", "key-2"));
  ASSERT_FALSE(IsOk(decoded));
  EXPECT_EQ(ErrorOf(decoded).field, "canteens.api_keys");
}

constexpr std::string_view kTarget =
    R"({"address":"10.0.0.9:80","born":1760000000123,"info":{"service":"s1","version":"v1","zone":"z","slots":7},)"
    R"("status":{"state":"in_service","sequence":4,"cold_remaining":"1500ms"}})";

TEST(TargetEntryTest, DecodesAllFields) {
  const auto decoded = DecodeTargetEntry("i-1", kTarget);
  ASSERT_TRUE(IsOk(decoded));
  const request_path::TargetRecord expected{
      .id = TargetName("i-1"),
      .incarnation = 1'760'000'000'123,
      .service = ServiceName("s1"),
      .address = "10.0.0.9:80",
      .domain = FailureDomainName("z"),
      .slots = 7,
      .cold_remaining = milliseconds(1500)};
  EXPECT_EQ(ValueOf(decoded), expected);
}

class BadTargetEntryTest : public testing::TestWithParam<BadInput> {};

TEST_P(BadTargetEntryTest, IsRejectedWithTheField) {
  const auto decoded = DecodeTargetEntry("i-1", GetParam().text);
  ASSERT_FALSE(IsOk(decoded));
  EXPECT_EQ(ErrorOf(decoded).problem, GetParam().problem);
  EXPECT_EQ(ErrorOf(decoded).field.substr(0, 3), "i-1");
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadTargetEntryTest,
    testing::Values(
        BadInput{"NoAddress", R"({"info":{},"status":{}})",
                 DecodeErrorKind::kMissing},
        BadInput{"NoStatus",
                 R"({"address":"1.2.3.4:5","info":{"service":"s"}})",
                 DecodeErrorKind::kMissing},
        BadInput{"StatusIsAString",
                 R"({"address":"1.2.3.4:5","info":{},"status":"x"})",
                 DecodeErrorKind::kWrongType},
        BadInput{"AddressInvalid", R"({"address":"a","info":{},"status":{}})",
                 DecodeErrorKind::kOutOfRange},
        BadInput{
            "StateUnknown",
            R"({"address":"1.2.3.4:5","info":{"service":"s","zone":"z"},"status":{"state":"retired"}})",
            DecodeErrorKind::kUnknownValue},
        BadInput{"StartIsFractional",
                 R"({"address":"1.2.3.4:5","born":1.5,"info":{},"status":{}})",
                 DecodeErrorKind::kOutOfRange},
        BadInput{
            "NoState",
            R"({"address":"1.2.3.4:5","info":{"service":"s","zone":"z"},"status":{}})",
            DecodeErrorKind::kMissing}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace medlarcroft::platform
