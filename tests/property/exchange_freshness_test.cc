#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/membership/exchange.h"

namespace medlarcroft::membership {
namespace {

constexpr std::size_t kHosts = 52;
constexpr std::size_t kDomains = 17;
constexpr std::size_t kLeaver = 7;
constexpr double kSeconds = 120.0;
constexpr double kWarmUp = 30.0;
constexpr double kLeavingAt = 60.0;
constexpr const char* kLeavingTarget = "swap-ledger-4";

HostName NameOf(std::size_t number) {
  return HostName("entry-host-" + std::to_string(number));
}

std::vector<ServiceLoad> SomeLoads() {
  std::vector<ServiceLoad> loads;
  for (const char* name : {"lookup-desk", "swap-ledger", "plan-library"}) {
    loads.push_back({.service = ServiceName(name),
                     .demand_per_second = 123.0,
                     .outstanding = 12,
                     .queued = 3,
                     .usable_slots = 17});
  }
  return loads;
}

struct Node {
  Node(const fakes::ManualClock& clock, std::size_t number)
      : table({},
              {.host = NameOf(number),
               .failure_domain = FailureDomainName("kg-nyarugenge"),
               .number = {.incarnation = FirstIncarnation(clock.WallNow())},
               .phase = HostPhase::kReady,
               .lookup_address = "10.12.34.56:8080",
               .entry_address = "10.12.34.56:8081",
               .peer_address = "10.12.34.56:8082"},
              clock),
        targets({}, clock) {}

  MembershipTable table;
  TargetStatusTable targets;
  ExchangeSelector selector;
  PeerRotation rotation;
  std::vector<HostName> others;
  std::size_t bytes = 0;
};

/// All hosts of a domain in virtual time; one message in twenty is lost.
class Domain {
 public:
  explicit Domain(const ExchangeBudget& budget)
      : budget_(budget), pacing_(PacingFor(budget)) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      nodes_.push_back(std::make_unique<Node>(clock_, i));
      for (std::size_t other = 0; other < kHosts; ++other) {
        if (other != i) {
          nodes_.back()->others.push_back(NameOf(other));
        }
      }
    }
  }

  void Run() {
    while (now_ < kSeconds) {
      clock_.Advance(pacing_.period);
      now_ += ToSeconds(pacing_.period);
      Speak();
      for (std::size_t i = 0; i < kHosts; ++i) {
        const auto peer = nodes_[i]->rotation.Next(nodes_[i]->others, random_);
        const std::size_t to = std::stoul(peer->Value().substr(11));
        Send(i, to);
        Send(to, i);
      }
      if (now_ > kWarmUp) {
        Measure();
      }
    }
  }

  [[nodiscard]] double WorstBytesPerSecond() const {
    std::size_t worst = 0;
    for (const auto& node : nodes_) {
      worst = std::max(worst, node->bytes);
    }
    return static_cast<double>(worst) / now_;
  }

  std::vector<double> ages, load_ages, summary_ages;
  std::size_t false_suspects = 0;
  double host_known_after = 0.0;
  double target_known_after = 0.0;

 private:
  void Speak() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      (void)nodes_[i]->table.Tick();
      const bool is_leaving = i == kLeaver && now_ >= kLeavingAt;
      nodes_[i]->table.UpdateSelf([is_leaving](HostState& self) {
        self.loads = SomeLoads();
        self.phase = is_leaving ? HostPhase::kLeaving : HostPhase::kReady;
      });
    }
    // Two relays hear each other domain once in three seconds.
    const auto second = static_cast<std::uint64_t>(now_);
    for (std::size_t d = 1; d < kDomains && second % 3 == 0; ++d) {
      const DomainSummary summary{
          .failure_domain = FailureDomainName("domain-" + std::to_string(d)),
          .reporter = HostName("entry-host-x"),
          .number = {.incarnation = 1, .sequence = second},
          .loads = SomeLoads(),
          .live_hosts = kHosts};
      (void)nodes_[0]->table.Receive(summary);
      (void)nodes_[1]->table.Receive(summary);
    }
    if (now_ >= kLeavingAt) {
      (void)nodes_[3]->targets.Receive({.target = TargetName(kLeavingTarget),
                                        .observer = NameOf(3),
                                        .sequence = 1,
                                        .is_leaving = true});
    }
  }

  void Send(std::size_t from, std::size_t to) {
    const ExchangeContent content = nodes_[from]->selector.Select(
        nodes_[from]->table, nodes_[from]->targets, pacing_.message_bytes);
    EXPECT_LE(WireBytes(content), pacing_.message_bytes);
    const std::size_t size = WireBytes(content) + budget_.overhead_bytes;
    nodes_[from]->bytes += size;
    nodes_[to]->bytes += size;
    if (random_.NextBelow(20) != 0) {
      ApplyExchange(content, nodes_[to]->table, nodes_[to]->targets);
    }
  }

  void Measure() {
    const double since = now_ - kLeavingAt + ToSeconds(pacing_.period);
    for (const auto& node : nodes_) {
      for (const Member& member : node->table.Members()) {
        Measure(member, since);
      }
      for (const DomainSummary& summary : node->table.Summaries()) {
        summary_ages.push_back(ToSeconds(summary.age));
      }
      if (now_ >= kLeavingAt &&
          !node->targets.IsLeaving(TargetName(kLeavingTarget))) {
        target_known_after = since;
      }
    }
  }

  void Measure(const Member& member, double since) {
    ages.push_back(ToSeconds(member.state.age));
    if (member.loads_number != StateNumber{}) {
      load_ages.push_back(ToSeconds(member.loads_age));
    }
    if (member.state.host != NameOf(kLeaver)) {
      false_suspects += member.liveness != Liveness::kAlive ? 1 : 0;
    } else if (now_ >= kLeavingAt && member.liveness != Liveness::kLeaving) {
      host_known_after = since;
    }
  }

  ExchangeBudget budget_;
  ExchangePacing pacing_;
  fakes::ManualClock clock_;
  fakes::SeededRandom random_{20261202};
  std::vector<std::unique_ptr<Node>> nodes_;
  double now_ = 0.0;
};

double Quantile(std::vector<double>& values, double part) {
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(
      part * static_cast<double>(values.size() - 1))];
}

void Print(const char* what, std::vector<double>& ages) {
  std::cout << what << " age s: p50 " << Quantile(ages, 0.5) << ", p99 "
            << Quantile(ages, 0.99) << ", max " << ages.back() << "\n";
}

// What the operator sees: 52 hosts of a domain spend more than 7 KB/s each on
// control, or take each other for dead; a leaving host or target gets work for
// long. Here every host exchanges by the pacing that its budget gives.
TEST(ExchangeFreshness, FiftyTwoHostsKnowEachOtherWithinTheByteBudget) {
  const ExchangeBudget budget;
  Domain domain(budget);
  domain.Run();

  std::cout << "message " << PacingFor(budget).message_bytes
            << " B, worst host " << domain.WorstBytesPerSecond() << " B/s\n";
  Print("state", domain.ages);
  Print("loads", domain.load_ages);
  Print("summary", domain.summary_ages);
  std::cout << "false suspects " << domain.false_suspects << " of "
            << domain.ages.size() << "; leaving known everywhere after: host "
            << domain.host_known_after << " s, target "
            << domain.target_known_after << " s\n";

  EXPECT_LT(domain.WorstBytesPerSecond(), budget.bytes_per_second);
  EXPECT_LE(Quantile(domain.ages, 0.99), 5.0);
  EXPECT_LE(domain.host_known_after, 4.0);
  EXPECT_LE(domain.target_known_after, 4.0);
  EXPECT_LT(domain.false_suspects, domain.ages.size() / 1000);
}

}  // namespace
}  // namespace medlarcroft::membership
