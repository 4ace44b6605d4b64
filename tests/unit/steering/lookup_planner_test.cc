#include "medlarcroft/steering/lookup_planner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "unit/steering/steering_fixture.h"

namespace medlarcroft::steering {
namespace {

using catalogue::DrainSubject;

const ServiceName kLookupDesk("lookup-desk");
const FailureDomainName kNyarugenge("kg-nyarugenge");
const FailureDomainName kKicukiro("kg-kicukiro");

EntryHost MakeHost(const std::string& name,
                   const FailureDomainName& domain,
                   EntryHostPhase phase = EntryHostPhase::kReady,
                   EntryHostLiveness liveness = EntryHostLiveness::kAlive,
                   double outstanding = 0.0) {
  return {.host = HostName(name),
          .address = "127.0.0.1:1",
          .failure_domain = domain,
          .phase = phase,
          .liveness = liveness,
          .loads = {{.service = kLookupDesk,
                     .outstanding = outstanding,
                     .usable_slots = 10.0}}};
}

fixture::CatalogueBuilder Deployment() {
  fixture::CatalogueBuilder builder;
  builder.Add(catalogue::ServiceEntry{.service = kLookupDesk});
  builder.AddDomain(kNyarugenge.Value(), "kigali");
  builder.AddDomain(kKicukiro.Value(), "kigali");
  return builder;
}

class LookupPlannerTest : public ::testing::Test {
 protected:
  void Update(std::vector<EntryHost> hosts,
              catalogue::SharedCatalogueView view = Deployment().Build(),
              ShiftPlan plan = {}) {
    planner_.Update({.catalogue = std::move(view),
                     .hosts = std::move(hosts),
                     .plan = std::move(plan),
                     .own_domain = kNyarugenge});
  }

  LookupAnswer Answer() {
    auto result = planner_.Plan({.service = kLookupDesk});
    EXPECT_TRUE(IsOk(result));
    return TakeValue(std::move(result));
  }

  /// @return how often each host is listed first in 1,000 answers.
  std::map<std::string, int> CountFirst() {
    std::map<std::string, int> counts;
    for (int round = 0; round < 1000; ++round) {
      ++counts[Answer().entry_hosts.front().host.Value()];
    }
    return counts;
  }

  fakes::ManualClock clock_;
  fakes::SeededRandom random_{7};
  LookupPlanner planner_{clock_, random_};
};

struct HostCase {
  const char* name;
  EntryHostPhase phase;
  EntryHostLiveness liveness;
  bool is_listed;
  bool is_last;
};

class EntryHostStateTest : public LookupPlannerTest,
                           public ::testing::WithParamInterface<HostCase> {};

TEST_P(EntryHostStateTest, DecidesWhetherAndWhereHostIsListed) {
  const HostCase& state = GetParam();
  Update({MakeHost("good", kNyarugenge),
          MakeHost("other", kNyarugenge, state.phase, state.liveness)});

  const LookupAnswer answer = Answer();

  const auto found = std::find_if(
      answer.entry_hosts.begin(), answer.entry_hosts.end(),
      [](const auto& host) { return host.host == HostName("other"); });
  EXPECT_EQ(found != answer.entry_hosts.end(), state.is_listed);
  if (state.is_last) {
    EXPECT_EQ(answer.entry_hosts.back().host, HostName("other"));
    EXPECT_EQ(answer.entry_hosts.back().weight, 0.0);
  }
}

using enum EntryHostPhase;
using enum EntryHostLiveness;

INSTANTIATE_TEST_SUITE_P(
    States,
    EntryHostStateTest,
    ::testing::Values(HostCase{"Ready", kReady, kAlive, true, false},
                      HostCase{"Suspect", kReady, kSuspect, true, true},
                      HostCase{"Unknown", kReady, kUnknown, true, true},
                      HostCase{"Starting", kStarting, kAlive, true, true},
                      HostCase{"Leaving", kLeaving, kAlive, false, false},
                      HostCase{"LeavingUnknown", kLeaving, kUnknown, false,
                               false},
                      HostCase{"Dead", kReady, kDead, false, false}),
    [](const auto& info) { return info.param.name; });

TEST_F(LookupPlannerTest, OmitsHostDrainedByOperator) {
  Update({MakeHost("a", kNyarugenge), MakeHost("b", kNyarugenge)},
         Deployment().AddDrain(DrainSubject::kHost, "b").Build());

  EXPECT_EQ(Answer().entry_hosts.size(), 1U);
}

// A caller in an isolated domain sends its look-up to the only host that it can
// reach, which has received no state of any other host yet. No answer would
// leave the caller without service although the hosts may be up, so the hosts
// of the domain are listed.
TEST_F(LookupPlannerTest, ListsOwnDomainWhenAllHostsAreUnknown) {
  Update({MakeHost("a", kNyarugenge, kStarting, kUnknown),
          MakeHost("b", kKicukiro, kStarting, kUnknown)});

  const LookupAnswer answer = Answer();

  EXPECT_EQ(answer.rule, LookupRule::kLastResort);
  ASSERT_EQ(answer.entry_hosts.size(), 1U);
  EXPECT_EQ(answer.entry_hosts[0].failure_domain, kNyarugenge);
  EXPECT_GT(answer.entry_hosts[0].weight, 0.0);
}

// After a restart, one host of four is idle while the others are full. If it
// received all callers of the next seconds, they would queue there together.
TEST_F(LookupPlannerTest, IdleHostGetsAtMostFourTimesTheCallersOfFullHost) {
  Update({MakeHost("idle", kNyarugenge),
          MakeHost("full-1", kNyarugenge, kReady, kAlive, 10.0),
          MakeHost("full-2", kNyarugenge, kReady, kAlive, 10.0),
          MakeHost("full-3", kNyarugenge, kReady, kAlive, 10.0)});

  auto counts = CountFirst();

  EXPECT_NEAR(counts["idle"], 4000.0 / 7, 60);
  EXPECT_NEAR(counts["full-1"], 1000.0 / 7, 45);
}

TEST_F(LookupPlannerTest, BoundsHostListAndNormalisesWeights) {
  std::vector<EntryHost> hosts;
  for (int index = 0; index < 52; ++index) {
    hosts.push_back(MakeHost("home-" + std::to_string(index), kNyarugenge));
    hosts.push_back(MakeHost("sibling-" + std::to_string(index), kKicukiro));
  }
  Update(std::move(hosts));

  const LookupAnswer answer = Answer();

  ASSERT_EQ(answer.entry_hosts.size(), 5U);  // Four at home, one elsewhere.
  double sum = 0.0;
  for (const LookupHost& host : answer.entry_hosts) {
    sum += host.weight;
  }
  EXPECT_NEAR(sum, 1.0, 1e-9);
  EXPECT_EQ(answer.entry_hosts.back().failure_domain, kKicukiro);
}

TEST_F(LookupPlannerTest, JittersTtlBelowServiceTtl) {
  Update({MakeHost("a", kNyarugenge)});
  Duration least = Duration::max();
  Duration most = Duration::zero();

  for (int round = 0; round < 200; ++round) {
    const Duration ttl = Answer().ttl;
    least = std::min(least, ttl);
    most = std::max(most, ttl);
  }

  EXPECT_GE(least, std::chrono::milliseconds(3750));
  EXPECT_LE(most, std::chrono::seconds(5));
  EXPECT_GT(most - least, std::chrono::seconds(1));
}

// The home domain fails completely and returns with empty caches. Callers go to
// the sibling domain immediately, and return over a minute rather than all
// within one TTL.
TEST_F(LookupPlannerTest, CallersReturnGraduallyToRecoveredDomain) {
  const EntryHost sibling = MakeHost("sibling", kKicukiro);
  Update({MakeHost("home", kNyarugenge), sibling});
  EXPECT_EQ(Answer().rule, LookupRule::kHome);

  Update({MakeHost("home", kNyarugenge, kReady, kDead), sibling});
  EXPECT_EQ(Answer().rule, LookupRule::kHomeLost);
  EXPECT_EQ(Answer().first_domain, kKicukiro);

  Update({MakeHost("home", kNyarugenge), sibling});
  clock_.Advance(std::chrono::seconds(15));
  EXPECT_NEAR(CountFirst()["home"], 250, 45);

  clock_.Advance(std::chrono::seconds(45));
  EXPECT_EQ(CountFirst()["home"], 1000);
}

TEST_F(LookupPlannerTest, MovesPlannedFractionOfDrainedDomainsCallers) {
  ShiftPlan plan;
  plan.moves.push_back({kLookupDesk, kNyarugenge, kKicukiro, 0.3});
  Update({MakeHost("home", kNyarugenge), MakeHost("sibling", kKicukiro)},
         Deployment().Build(), std::move(plan));

  EXPECT_NEAR(CountFirst()["sibling"], 300, 45);
}

TEST_F(LookupPlannerTest, RejectsUnknownServiceAndBrandWithError) {
  auto builder = Deployment();
  builder.Add(
      catalogue::ServiceEntry{.service = ServiceName("private"),
                              .brands = {{.brand = BrandName("kitchen")}}});
  Update({}, builder.Build());

  const auto error_of = [&](const char* service, const char* brand) {
    return ErrorOf(planner_.Plan(
        {.service = ServiceName(service), .brand = BrandName(brand)}));
  };

  EXPECT_EQ(error_of("none", ""), LookupError::kUnknownService);
  EXPECT_EQ(error_of("private", "golf"), LookupError::kUnknownBrand);
  EXPECT_EQ(error_of("private", "kitchen"), LookupError::kNoEntryHost);
}

}  // namespace
}  // namespace medlarcroft::steering
