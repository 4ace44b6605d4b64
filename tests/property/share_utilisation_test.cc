#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/capacity/share_allocator.h"
#include "medlarcroft/capacity/split.h"

namespace medlarcroft::capacity {
namespace {

constexpr std::uint32_t kSlots = 3;
constexpr Duration kStep = std::chrono::milliseconds(4);
constexpr Duration kWork = std::chrono::milliseconds(100);
constexpr Duration kQueueLimit = std::chrono::milliseconds(200);
constexpr Duration kRunTime = std::chrono::seconds(5);

/// How requests are routed to hosts and slots.
enum class RoutingMode {
  kSharesOnly,  ///< To a random host, which has its own shares only.
  kLending,     ///< To a random host; hosts lend shares.
  kWeighted,    ///< To hosts in proportion to their shares; with lending.
};

struct UtilisationCase {
  std::string name;
  std::uint32_t hosts;
  std::uint32_t targets;
  double load;  ///< Offered load as a fraction of all slots.
  RoutingMode routing;
  double min_served;        ///< As a fraction of the best possible.
  std::uint32_t seats = 0;  ///< 0: as many as hosts.
};

std::ostream& operator<<(std::ostream& out, const UtilisationCase& c) {
  return out << c.name;
}

/// The hosts of a failure domain in virtual time; messages between them take
/// one step.
class Domain {
 public:
  explicit Domain(const UtilisationCase& c) : case_(c) {
    case_.seats = c.seats == 0 ? c.hosts : c.seats;
    for (std::uint32_t target = 0; target < c.targets; ++target) {
      limits_.push_back("target/reserva-" + std::to_string(target) + "/slots");
    }
    for (std::uint32_t i = 0; i < c.hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(i, clock_));
      for (const std::string& limit : limits_) {
        const std::uint32_t part = SplitLimit(limit, kSlots, case_.seats, i);
        hosts_.back()->book.SetOwn(limit, part);
        share_owners_.insert(share_owners_.end(), part, i);
      }
    }
  }

  void Run() {
    const double per_step = case_.load * kSlots * case_.targets *
                            ToSeconds(kStep) / ToSeconds(kWork);
    double due = 0.0;
    for (Duration time{}; time < kRunTime; time += kStep) {
      clock_.Advance(kStep);
      // Arrivals in bursts of random size around the mean.
      for (due += 2.0 * per_step * random_.NextUnit(); due >= 1.0; due -= 1.0) {
        hosts_[ChooseHost()]->queue.push_back(clock_.Now());
        ++offered_;
      }
      DeliverMessages();
      for (const auto& host : hosts_) {
        Serve(*host);
      }
    }
  }

  [[nodiscard]] double Utilisation() const {
    return static_cast<double>(served_) * ToSeconds(kWork) /
           (ToSeconds(kRunTime) * kSlots * case_.targets);
  }
  [[nodiscard]] double Refused() const {
    return static_cast<double>(refused_) / static_cast<double>(offered_);
  }
  [[nodiscard]] double MessagesPerRequest() const {
    return static_cast<double>(messages_) / static_cast<double>(offered_);
  }

 private:
  struct Host {
    Host(std::uint32_t number, const ports::Clock& clock)
        : name(std::to_string(number)), book({.host = name}, clock) {
      book.SetOwnValidUntil(MonotonicTime::max());
    }
    HostName name;
    ShareAllocator book;
    std::deque<MonotonicTime> queue;
    std::vector<std::pair<AcquiredUnit, MonotonicTime>> uses;
    std::size_t pending_requests = 0;
  };

  [[nodiscard]] std::size_t ChooseHost() {
    return case_.routing == RoutingMode::kWeighted
               ? share_owners_[random_.NextBelow(share_owners_.size())]
               : random_.NextBelow(hosts_.size());
  }

  void Serve(Host& host) {
    const MonotonicTime now = clock_.Now();
    std::erase_if(host.uses, [&](const auto& use) {
      if (use.second > now) {
        return false;
      }
      host.book.Release(use.first);
      return true;
    });
    while (!host.queue.empty() && now - host.queue.front() > kQueueLimit) {
      host.queue.pop_front();
      ++refused_;
    }
    const std::size_t first = random_.NextBelow(limits_.size());
    for (std::size_t i = 0; i < limits_.size() && !host.queue.empty(); ++i) {
      const auto use =
          host.book.TryAcquire(limits_[(first + i) % limits_.size()]);
      if (use) {
        host.queue.pop_front();
        host.uses.emplace_back(*use, now + kWork);
        ++served_;
      }
    }
    if (case_.routing != RoutingMode::kSharesOnly) {
      Lend(host);
    }
  }

  /// Keeps one outstanding loan request for each queued request, at most four.
  void Lend(Host& host) {
    while (host.pending_requests <
           std::min<std::size_t>(host.queue.size(), 4)) {
      const std::string& limit = limits_[random_.NextBelow(limits_.size())];
      const auto seats = SeatsWithShare(limit, kSlots, case_.seats);
      const std::uint32_t lender = seats[random_.NextBelow(seats.size())];
      if (hosts_[lender].get() == &host) {
        return;
      }
      ++host.pending_requests;
      SendBorrowRequest(host, host.book.Borrow(limit, 1, hosts_[lender]->name),
                        true);
    }
    for (const auto& ask : host.book.Renewals()) {
      SendBorrowRequest(host, ask, false);
    }
    for (const auto& ask : host.book.Returns()) {
      ++messages_;
      LenderOf(ask).book.AcceptReturn(ask.request);
    }
  }

  void SendBorrowRequest(Host& host,
                         const capacity::OutgoingShareRequest& ask,
                         bool is_new) {
    messages_ += 2;
    in_flight_.push_back([this, &host, ask, is_new] {
      host.book.Apply(ask, LenderOf(ask).book.Lend(ask.request));
      host.pending_requests -= is_new ? 1 : 0;
    });
  }

  [[nodiscard]] Host& LenderOf(const capacity::OutgoingShareRequest& ask) {
    return *hosts_[std::stoul(ask.lender.Value())];
  }

  void DeliverMessages() {
    const auto due = std::exchange(in_flight_, {});
    for (const auto& message : due) {
      message();
    }
  }

  UtilisationCase case_;
  fakes::ManualClock clock_;
  fakes::SeededRandom random_{7};
  std::vector<std::string> limits_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::uint32_t> share_owners_;
  std::vector<std::function<void()>> in_flight_;
  std::uint64_t offered_ = 0, served_ = 0, refused_ = 0, messages_ = 0;
};

class ShareUtilisation : public ::testing::TestWithParam<UtilisationCase> {};

// Guards against requests that are refused for lack of capacity while slots of
// the failure domain are idle. Cause: the slots are split between hosts, and
// requests reach a host whose share is in use, or which has none. The bound is
// relative to serving everything that fits.
TEST_P(ShareUtilisation, ServesWhatFits) {
  const UtilisationCase& c = GetParam();
  Domain domain(c);
  domain.Run();
  const double served = domain.Utilisation() / std::min(c.load, 1.0);
  std::cout << c.name << ": utilisation " << domain.Utilisation()
            << ", fraction of best " << served << ", refused "
            << domain.Refused() << ", messages per request "
            << domain.MessagesPerRequest() << "\n";
  EXPECT_GE(served, c.min_served);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    ShareUtilisation,
    ::testing::Values(
        UtilisationCase{"OneHost", 1, 12, 1.5, RoutingMode::kSharesOnly, 0.98},
        UtilisationCase{"TwoHosts", 2, 12, 1.5, RoutingMode::kSharesOnly, 0.98},
        UtilisationCase{"TwoHosts70", 2, 12, 0.7, RoutingMode::kSharesOnly,
                        0.98},
        UtilisationCase{"TwoHosts90", 2, 12, 0.9, RoutingMode::kSharesOnly,
                        0.98},
        UtilisationCase{"TwoHostsOneSeat", 2, 12, 1.5, RoutingMode::kLending,
                        0.95, 1},
        UtilisationCase{"TwoHostsOneSeat70", 2, 12, 0.7, RoutingMode::kLending,
                        0.95, 1},
        UtilisationCase{"Hosts52SharesOnly", 52, 12, 1.5,
                        RoutingMode::kSharesOnly, 0.5},
        UtilisationCase{"Hosts52SharesOnly70", 52, 12, 0.7,
                        RoutingMode::kSharesOnly, 0.35},
        UtilisationCase{"Hosts52Lending", 52, 12, 1.5, RoutingMode::kLending,
                        0.8},
        UtilisationCase{"Hosts52Lending70", 52, 12, 0.7, RoutingMode::kLending,
                        0.85},
        UtilisationCase{"Hosts52Weighted", 52, 12, 1.5, RoutingMode::kWeighted,
                        0.93},
        UtilisationCase{"Hosts52Weighted70", 52, 12, 0.7,
                        RoutingMode::kWeighted, 0.93},
        UtilisationCase{"Hosts52Targets100", 52, 100, 0.7,
                        RoutingMode::kSharesOnly, 0.8},
        UtilisationCase{"Hosts52Targets100Lending", 52, 100, 0.7,
                        RoutingMode::kLending, 0.95}),
    [](const auto& instance) { return instance.param.name; });

}  // namespace
}  // namespace medlarcroft::capacity
