#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {
namespace {

using routing::ApiKeyDigest;
using routing::ClientAccount;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("desk");
const ClientAccountName kSchools("schools");
const RegionName kHere("here");
const RegionName kThere("there");
const RegionName kBeyond("beyond");

class NullObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange /*change*/,
                      const TargetRecord& /*target*/) override {}
};

ClientAccount AccountWithKey(std::string_view key) {
  return {.name = kSchools, .keys = {ApiKeyDigest::Of(key)}};
}

routing::Route RouteAt(std::string_view prefix) {
  return {.name = std::string(prefix),
          .host = "h",
          .path_prefix = std::string(prefix),
          .kind = routing::RequestKind::kIdempotent,
          .timeout = seconds(2),
          .latency_objective = milliseconds(500),
          .max_attempts = 3,
          .weighted_services = {{.service = kService}}};
}

/// A host in the region `kHere`, with one target in each of three regions.
class ClientAccountTest : public testing::Test {
 protected:
  ClientAccountTest() {
    std::vector<TargetRecord> records;
    for (const RegionName& region : {kHere, kThere, kBeyond}) {
      records.push_back({.id = TargetName("t-" + region.Value()),
                         .service = kService,
                         .address = "127.0.0.1:80",
                         .domain = FailureDomainName(region.Value()),
                         .slots = 3});
    }
    directory_.ReplaceAll(records, {}, std::nullopt, kStart);
  }

  void Configure(std::vector<ClientAccount> accounts,
                 std::vector<RegionName> route_regions = {}) {
    routing::Route closed = RouteAt("/closed/");
    closed.allowed_regions = std::move(route_regions);
    routing::Route open = RouteAt("/open/");
    open.is_public = true;
    routes_.Apply({.version = ++version_,
                   .routes = {closed, open},
                   .accounts = std::move(accounts)});
  }

  RequestStart Begin(std::optional<std::string_view> key,
                     std::string target = "/closed/1") {
    CallerRequest request{.host = "h", .target = std::move(target)};
    if (key) {
      request.api_key = ApiKeyDigest::Of(*key);
    }
    return path_.Begin(request, kStart);
  }

  /// @return the regions in which the request runs when each attempt fails.
  std::vector<RegionName> RegionsTried(const RequestStart& start) {
    std::vector<RegionName> regions;
    Step step = start.step;
    while (const auto* const send = std::get_if<SendAttempt>(&step)) {
      regions.push_back(send->region);
      step = path_.OnAttemptEnd(start.ticket, send->attempt,
                                AttemptEnd::kNotRun, kStart);
    }
    return regions;
  }

  NullObserver observer_;
  fakes::SeededRandom random_{1};
  routing::RouteTable routes_;
  TargetDirectory directory_{{{FailureDomainName("here"), kHere},
                              {FailureDomainName("there"), kThere},
                              {FailureDomainName("beyond"), kBeyond}},
                             observer_};
  RequestPath path_{{.own_region = kHere}, routes_, directory_, random_};
  std::uint64_t version_ = 0;
};

std::optional<FailureReason> FailureOf(const RequestStart& start) {
  const auto* const failure = std::get_if<RequestFailure>(&start.step);
  return failure == nullptr ? std::nullopt : std::optional(failure->reason);
}

struct KeyCase {
  std::string name;
  std::optional<std::string> key;
  std::string target;
  bool is_configuration_stale = false;
  std::optional<FailureReason> failure;
  ClientAccountName account;  ///< That the target is told.
};

class KeyTable : public ClientAccountTest,
                 public testing::WithParamInterface<KeyCase> {};

// Guards against requests that run without a known key, and against proper
// requests that are refused for good by a host whose configuration is outdated.
TEST_P(KeyTable, OnlyRequestsWithAKnownKeyRun) {
  Configure({AccountWithKey("key-1")});
  if (GetParam().is_configuration_stale) {
    path_.SetConfigurationAge({.overdue_at = kStart});
  }

  const RequestStart start = Begin(GetParam().key, GetParam().target);

  EXPECT_EQ(FailureOf(start), GetParam().failure);
  if (const auto* const failure = std::get_if<RequestFailure>(&start.step)) {
    EXPECT_TRUE(failure->is_not_run);
    EXPECT_EQ(failure->retry_after.has_value(),
              GetParam().is_configuration_stale);
  } else {
    EXPECT_EQ(std::get<SendAttempt>(start.step).account, GetParam().account);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    KeyTable,
    testing::Values(KeyCase{"Known", "key-1", "/closed/1", false, std::nullopt,
                            kSchools},
                    KeyCase{"Unknown",
                            "key-2",
                            "/closed/1",
                            false,
                            FailureReason::kKeyUnknown,
                            {}},
                    KeyCase{"Missing",
                            std::nullopt,
                            "/closed/1",
                            false,
                            FailureReason::kKeyUnknown,
                            {}},
                    KeyCase{"UnknownToAnOutdatedHost",
                            "key-2",
                            "/closed/1",
                            true,
                            FailureReason::kKeyUnknownYet,
                            {}},
                    KeyCase{"KnownToAnOutdatedHost", "key-1", "/closed/1", true,
                            std::nullopt, kSchools},
                    KeyCase{"PublicWithoutKey",
                            std::nullopt,
                            "/open/1",
                            false,
                            std::nullopt,
                            {}},
                    KeyCase{"PublicWithUnknownKey",
                            "key-2",
                            "/open/1",
                            false,
                            std::nullopt,
                            {}},
                    KeyCase{"PublicWithKnownKey", "key-1", "/open/1", false,
                            std::nullopt, kSchools},
                    KeyCase{"NoRoute",
                            "key-1",
                            "/nowhere/",
                            false,
                            FailureReason::kNoRoute,
                            {}}),
    [](const auto& tested) { return tested.param.name; });

TEST_F(ClientAccountTest, NoKeyIsNeededWithoutAccounts) {
  Configure({});
  EXPECT_EQ(FailureOf(Begin(std::nullopt)), std::nullopt);
  EXPECT_EQ(FailureOf(Begin("any")), std::nullopt);
}

TEST_F(ClientAccountTest, AHostWithoutConfigurationAsksToRetry) {
  const RequestStart start = Begin("key-1");
  EXPECT_EQ(FailureOf(start), FailureReason::kNotConfigured);
  EXPECT_TRUE(std::get<RequestFailure>(start.step).retry_after);
}

// A key moves from one account to another, and is then withdrawn. Each request
// counts for the account that held the key on arrival, also when it is retried
// after the change.
TEST_F(ClientAccountTest, ARequestKeepsTheAccountOfItsArrival) {
  Configure({AccountWithKey("key-1")});
  const RequestStart first = Begin("key-1");
  ClientAccount other = AccountWithKey("key-1");
  other.name = ClientAccountName("canteens");
  Configure({other});
  const RequestStart second = Begin("key-1");
  Configure({AccountWithKey("key-2")});

  const Step retry =
      path_.OnAttemptEnd(first.ticket, 1, AttemptEnd::kNotRun, kStart);
  EXPECT_EQ(std::get<SendAttempt>(retry).account, kSchools);
  EXPECT_EQ(std::get<SendAttempt>(second.step).account, other.name);
  EXPECT_EQ(FailureOf(Begin("key-1")), FailureReason::kKeyUnknown);
}

// An old version of the configuration arrives late, when a key has already been
// withdrawn. The key stays withdrawn.
TEST_F(ClientAccountTest, AWithdrawnKeyDoesNotReturnWithAnOlderConfiguration) {
  Configure({AccountWithKey("key-1")});
  Configure({AccountWithKey("key-2")});
  --version_;
  Configure({AccountWithKey("key-1")});
  EXPECT_EQ(FailureOf(Begin("key-1")), FailureReason::kKeyUnknown);
}

struct RegionCase {
  std::string name;
  std::vector<RegionName> of_route;
  std::vector<RegionName> of_account;
  std::vector<RegionName> tried;  ///< Empty: the request is refused.
};

class RegionTable : public ClientAccountTest,
                    public testing::WithParamInterface<RegionCase> {};

// Guards against requests and retries that leave the regions which the route
// and the account allow.
TEST_P(RegionTable, RouteAndAccountBindTogether) {
  ClientAccount account = AccountWithKey("key-1");
  account.allowed_regions = GetParam().of_account;
  Configure({account}, GetParam().of_route);

  const RequestStart start = Begin("key-1");

  std::vector<RegionName> tried = RegionsTried(start);
  std::ranges::sort(tried);
  EXPECT_EQ(tried, GetParam().tried);
  if (GetParam().tried.empty()) {
    EXPECT_EQ(FailureOf(start), FailureReason::kRegionForbidden);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RegionTable,
    testing::Values(
        RegionCase{"Neither", {}, {}, {kBeyond, kHere, kThere}},
        RegionCase{"Route", {kThere}, {}, {kThere}},
        RegionCase{"Account", {}, {kThere, kBeyond}, {kBeyond, kThere}},
        RegionCase{"Both", {kHere, kThere}, {kThere, kBeyond}, {kThere}},
        RegionCase{"Disjoint", {kHere}, {kThere}, {}}),
    [](const auto& tested) { return tested.param.name; });

struct OutdatedCase {
  std::string name;
  std::vector<RegionName> of_route;
  std::vector<RegionName> of_account;
  bool is_store_away = false;  ///< For all hosts.
  bool runs = false;
};

class OutdatedHostTable : public ClientAccountTest,
                          public testing::WithParamInterface<OutdatedCase> {};

// Guards against requests that run in a region which the configuration in force
// forbids, on a host that may have missed that configuration.
TEST_P(OutdatedHostTable, RunsNothingByRegionsThatMayHaveChanged) {
  ClientAccount account = AccountWithKey("key-1");
  account.allowed_regions = GetParam().of_account;
  Configure({account}, GetParam().of_route);
  const RequestStart before = Begin("key-1");
  path_.SetConfigurationAge({.overdue_at = kStart});
  path_.SetStoreAway(GetParam().is_store_away);

  const RequestStart start = Begin("key-1");
  const Step retry =
      path_.OnAttemptEnd(before.ticket, 1, AttemptEnd::kNotRun, kStart);

  EXPECT_EQ(std::holds_alternative<SendAttempt>(start.step), GetParam().runs);
  EXPECT_EQ(std::holds_alternative<SendAttempt>(retry), GetParam().runs);
  for (const Step& step : {start.step, retry}) {
    if (const auto* const failure = std::get_if<RequestFailure>(&step)) {
      EXPECT_TRUE(failure->is_not_run);
      EXPECT_TRUE(failure->retry_after);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    OutdatedHostTable,
    testing::Values(
        OutdatedCase{"Anywhere", {}, {}, false, true},
        OutdatedCase{"ByRoute", {kThere, kBeyond}, {}, false, false},
        OutdatedCase{"ByAccount", {}, {kThere, kBeyond}, false, false},
        OutdatedCase{"WhileNothingCanChange",
                     {kThere, kBeyond},
                     {},
                     true,
                     true}),
    [](const auto& tested) { return tested.param.name; });

// Guards against requests that a host finds after a pause, and decides before
// it learns what it missed.
TEST_F(ClientAccountTest, RegionsAreUnknownFromTheMomentNewsIsOverdue) {
  Configure({}, {kThere});
  path_.SetConfigurationAge({.overdue_at = kStart + milliseconds(1)});
  EXPECT_EQ(FailureOf(Begin(std::nullopt)), std::nullopt);
  path_.SetConfigurationAge({.overdue_at = kStart});
  EXPECT_EQ(FailureOf(Begin(std::nullopt)), FailureReason::kRegionsUnknown);
}

// Guards against later sends of a request that run where the configuration of
// its arrival allowed it and the one in force does not.
TEST_F(ClientAccountTest, ALaterSendRunsWhereTheConfigurationInForceAllows) {
  Configure({}, {kThere, kBeyond});
  const RequestStart retried = Begin(std::nullopt);
  const RequestStart hedged = Begin(std::nullopt, "/closed/2");
  Configure({}, {kHere});

  const Step retry =
      path_.OnAttemptEnd(retried.ticket, 1, AttemptEnd::kNotRun, kStart);
  const Step hedge = path_.OnSlow(hedged.ticket, kStart);

  for (const Step& step : {retry, hedge}) {
    ASSERT_TRUE(std::holds_alternative<SendAttempt>(step));
    EXPECT_EQ(std::get<SendAttempt>(step).region, kHere);
  }
}

// Guards against a send that waits for its connection, or for another host to
// relay it, while the configuration forbids its region.
TEST_F(ClientAccountTest, AWaitingSendIsNotSentToARegionForbiddenMeanwhile) {
  Configure({}, {kThere});
  const RequestStart start = Begin(std::nullopt);
  const TargetIdentity target = std::get<SendAttempt>(start.step).target;
  EXPECT_TRUE(path_.MaySend(start.ticket, target, kStart));
  Configure({}, {kHere});
  EXPECT_FALSE(path_.MaySend(start.ticket, target, kStart));
}

// Guards against later sends to any region when the route and the account have
// no region in common any more.
TEST_F(ClientAccountTest, NoLaterSendWhenNoRegionIsLeft) {
  ClientAccount account = AccountWithKey("key-1");
  account.allowed_regions = {kThere, kBeyond};
  Configure({account}, {kThere, kBeyond});
  const RequestStart start = Begin("key-1");
  Configure({account}, {kHere});

  const Step retry =
      path_.OnAttemptEnd(start.ticket, 1, AttemptEnd::kNotRun, kStart);

  ASSERT_TRUE(std::holds_alternative<RequestFailure>(retry));
  EXPECT_EQ(std::get<RequestFailure>(retry).reason,
            FailureReason::kRegionForbidden);
}

// Guards against refusing requests that may run anywhere because their region
// is full with an account that may run nowhere else, while others have room.
TEST_F(ClientAccountTest, RequestsLeaveARegionThatAnAccountFills) {
  ClientAccount bound = AccountWithKey("bound");
  bound.allowed_regions = {kHere};
  bound.quota.requests_per_second = 40;
  ClientAccount free = AccountWithKey("free");
  free.name = ClientAccountName("free");
  free.quota.requests_per_second = 60;
  Configure({bound, free});
  while (std::holds_alternative<SendAttempt>(Begin("bound").step)) {
  }

  for (int i = 0; i < 4; ++i) {
    const RequestStart start = Begin("free", "/closed/" + std::to_string(i));
    ASSERT_TRUE(std::holds_alternative<SendAttempt>(start.step)) << i;
    EXPECT_NE(std::get<SendAttempt>(start.step).region, kHere);
  }
}

}  // namespace
}  // namespace medlarcroft::request_path
