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
constexpr std::size_t kLeavingHost = 7;
constexpr double kRunSeconds = 120.0;
constexpr double kWarmUpSeconds = 30.0;
constexpr double kLeavingAtSeconds = 60.0;
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

struct SimulatedHost {
  SimulatedHost(const fakes::ManualClock& clock, std::size_t number)
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

/// All hosts of a failure domain in virtual time; one message in twenty is
/// lost.
class Domain {
 public:
  explicit Domain(const ExchangeBudget& budget)
      : budget_(budget), pacing_(PacingFor(budget)) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<SimulatedHost>(clock_, i));
      for (std::size_t other = 0; other < kHosts; ++other) {
        if (other != i) {
          hosts_.back()->others.push_back(NameOf(other));
        }
      }
    }
  }

  void Run() {
    while (now_ < kRunSeconds) {
      clock_.Advance(pacing_.period);
      now_ += ToSeconds(pacing_.period);
      UpdateStates();
      for (std::size_t i = 0; i < kHosts; ++i) {
        const auto peer = hosts_[i]->rotation.Next(hosts_[i]->others, random_);
        const std::size_t to = std::stoul(peer->Value().substr(11));
        Send(i, to);
        Send(to, i);
      }
      if (now_ > kWarmUpSeconds) {
        RecordAges();
      }
    }
  }

  [[nodiscard]] double WorstBytesPerSecond() const {
    std::size_t worst = 0;
    for (const auto& host : hosts_) {
      worst = std::max(worst, host->bytes);
    }
    return static_cast<double>(worst) / now_;
  }

  std::vector<double> state_ages, load_ages, summary_ages;
  std::size_t false_suspects = 0;
  double host_known_after = 0.0;
  double target_known_after = 0.0;

 private:
  void UpdateStates() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      (void)hosts_[i]->table.Tick();
      const bool is_leaving = i == kLeavingHost && now_ >= kLeavingAtSeconds;
      hosts_[i]->table.UpdateSelf([is_leaving](HostState& self) {
        self.loads = SomeLoads();
        self.phase = is_leaving ? HostPhase::kLeaving : HostPhase::kReady;
      });
    }
    // Two relays get the summary of each other failure domain every three
    // seconds.
    const auto second = static_cast<std::uint64_t>(now_);
    for (std::size_t d = 1; d < kDomains && second % 3 == 0; ++d) {
      const DomainSummary summary{
          .failure_domain = FailureDomainName("domain-" + std::to_string(d)),
          .reporter = HostName("entry-host-x"),
          .number = {.incarnation = 1, .sequence = second},
          .loads = SomeLoads(),
          .live_hosts = kHosts};
      (void)hosts_[0]->table.Receive(summary);
      (void)hosts_[1]->table.Receive(summary);
    }
    if (now_ >= kLeavingAtSeconds) {
      (void)hosts_[3]->targets.Receive({.target = TargetName(kLeavingTarget),
                                        .observer = NameOf(3),
                                        .sequence = 1,
                                        .is_leaving = true});
    }
  }

  void Send(std::size_t from, std::size_t to) {
    const ExchangeContent content = hosts_[from]->selector.Select(
        hosts_[from]->table, hosts_[from]->targets, pacing_.message_bytes);
    EXPECT_LE(WireBytes(content), pacing_.message_bytes);
    const std::size_t size = WireBytes(content) + budget_.overhead_bytes;
    hosts_[from]->bytes += size;
    hosts_[to]->bytes += size;
    if (random_.NextBelow(20) != 0) {
      ApplyExchange(content, hosts_[to]->table, hosts_[to]->targets);
    }
  }

  void RecordAges() {
    const double since = now_ - kLeavingAtSeconds + ToSeconds(pacing_.period);
    for (const auto& host : hosts_) {
      for (const Member& member : host->table.Members()) {
        RecordAges(member, since);
      }
      for (const DomainSummary& summary : host->table.Summaries()) {
        summary_ages.push_back(ToSeconds(summary.age));
      }
      if (now_ >= kLeavingAtSeconds &&
          !host->targets.IsLeaving(TargetName(kLeavingTarget))) {
        target_known_after = since;
      }
    }
  }

  void RecordAges(const Member& member, double since) {
    state_ages.push_back(ToSeconds(member.state.age));
    if (member.loads_number != StateNumber{}) {
      load_ages.push_back(ToSeconds(member.loads_age));
    }
    if (member.state.host != NameOf(kLeavingHost)) {
      false_suspects += member.liveness != Liveness::kAlive ? 1 : 0;
    } else if (now_ >= kLeavingAtSeconds &&
               member.liveness != Liveness::kLeaving) {
      host_known_after = since;
    }
  }

  ExchangeBudget budget_;
  ExchangePacing pacing_;
  fakes::ManualClock clock_;
  fakes::SeededRandom random_{20261202};
  std::vector<std::unique_ptr<SimulatedHost>> hosts_;
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

// Guards against 52 hosts of a failure domain that each spend more than 7 KB/s
// on control traffic or consider each other dead, and against a leaving host or
// target that keeps getting work for long. Every host exchanges at the pace
// that its byte budget gives.
TEST(ExchangeFreshness, FiftyTwoHostsKnowEachOtherWithinTheByteBudget) {
  const ExchangeBudget budget;
  Domain domain(budget);
  domain.Run();

  std::cout << "message " << PacingFor(budget).message_bytes
            << " B, worst host " << domain.WorstBytesPerSecond() << " B/s\n";
  Print("state", domain.state_ages);
  Print("loads", domain.load_ages);
  Print("summary", domain.summary_ages);
  std::cout << "false suspects " << domain.false_suspects << " of "
            << domain.state_ages.size()
            << "; leaving state known to all after: host "
            << domain.host_known_after << " s, target "
            << domain.target_known_after << " s\n";

  EXPECT_LT(domain.WorstBytesPerSecond(), budget.bytes_per_second);
  EXPECT_LE(Quantile(domain.state_ages, 0.99), 5.0);
  EXPECT_LE(domain.host_known_after, 4.0);
  EXPECT_LE(domain.target_known_after, 4.0);
  EXPECT_LT(domain.false_suspects, domain.state_ages.size() / 1000);
}

}  // namespace
}  // namespace medlarcroft::membership
