#ifndef MEDLARCROFT_TESTS_PROPERTY_DOMAIN_MODEL_H_
#define MEDLARCROFT_TESTS_PROPERTY_DOMAIN_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_table_store.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/capacity/seat_holder.h"
#include "medlarcroft/capacity/share_allocator.h"
#include "medlarcroft/capacity/split.h"
#include "medlarcroft/capacity/split_transition.h"

namespace medlarcroft::testing {

/// @brief The hosts of one failure domain that share one target, with all
/// faults between them: messages that are lost, delayed, duplicated or
/// reordered; processes that are paused or restarted; a host list with
/// arbitrary content; a platform that is unavailable or loses responses;
/// catalogue revisions that hosts learn at different times. The domain itself
/// is never partitioned.
class DomainModel {
 public:
  static constexpr std::uint32_t kLimit = 3;
  static constexpr std::uint32_t kHosts = 4;
  static constexpr const char* kLimitName = "target/reserva-1/slots";

  struct Counts {
    std::uint64_t dispatches = 0, dispatches_on_loans = 0, takeovers = 0,
                  doubtful_steps = 0;
  };

  explicit DomainModel(std::uint64_t seed) : random_(seed) {
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(i));
      Restart(i);
    }
  }

  void Restart(std::uint32_t i) {
    Host& host = *hosts_[i];
    host.is_paused = false;
    ++host.incarnation;
    host.uses.clear();
    host.inbox.clear();
    host.answers.clear();
    host.holder = std::make_unique<capacity::SeatHolder>(
        capacity::SeatHolderOptions{
            .self = {.host = host.name, .incarnation = host.incarnation},
            .failure_domain = FailureDomainName("d")},
        store_, host.clock);
    host.book = std::make_unique<capacity::ShareAllocator>(
        capacity::ShareAllocatorOptions{
            .host = host.name,
            .incarnation = host.incarnation,
            .return_idle_after = std::chrono::seconds(i % 2 == 0 ? 0 : 2)},
        host.clock);
    host.transition = capacity::SplitTransition(rules_);
    host.had_seat = false;
  }

  void SetPaused(std::uint32_t i, bool is_paused) {
    hosts_[i]->is_paused = is_paused;
    for (auto& [index, peer] : hosts_[i]->answers) {
      peer.silent_for.reset();
    }
  }
  void SetListed(std::uint32_t i, bool is_listed) {
    hosts_[i]->is_listed = is_listed;
  }
  fakes::FakeTableStore& Store() { return store_; }
  /// Publishes a new number of seats; hosts learn of it one by one.
  void DeclareSplit(std::uint32_t seats) {
    seats_of_revision_.push_back(seats);
  }
  void LearnRevision(std::uint32_t i) {
    hosts_[i]->revision = seats_of_revision_.size();
  }
  void HandOver(std::uint32_t from, std::uint32_t to) {
    Host& giver = *hosts_[from];
    if (giver.is_paused) {
      return;
    }
    const auto handover = giver.holder->HandOver(
        {.host = hosts_[to]->name, .incarnation = hosts_[to]->incarnation});
    if (handover) {
      Send(to, [this, to, message = *handover] {
        (void)hosts_[to]->holder->Accept(message);
      });
    }
  }

  /// Runs one step of all hosts and advances time.
  void Tick(Duration step) {
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      if (!hosts_[i]->is_paused) {
        Run(i);
      }
    }
    now_ += step;
    for (const auto& host : hosts_) {
      // Clock rates differ within the allowed drift.
      host->clock.Advance(step + (step / 2000) * host->index);
    }
    std::erase_if(running_, [this](Duration end) { return end <= now_; });
  }

  [[nodiscard]] std::size_t Running() const { return running_.size(); }
  [[nodiscard]] const Counts& Totals() const { return counts_; }

 private:
  struct Host {
    explicit Host(std::uint32_t number)
        : index(number), name("h" + std::to_string(number)) {}
    std::uint32_t index;
    HostName name;
    std::uint64_t incarnation = 0;
    fakes::ManualClock clock;
    bool is_paused = false;
    bool is_listed = true;
    bool had_seat = false;
    std::size_t revision = 1;
    std::unique_ptr<capacity::SeatHolder> holder;
    std::unique_ptr<capacity::ShareAllocator> book;
    capacity::SplitTransition transition{capacity::LeaseRules{}};
    std::vector<std::pair<capacity::AcquiredUnit, Duration>> uses;
    std::vector<std::pair<Duration, std::function<void()>>> inbox;
    std::map<std::uint32_t, capacity::PeerEvidence> answers;
    std::map<std::uint32_t, MonotonicTime> failed_since;
  };

  /// Delivers a message: one in eight is lost, one in eight is duplicated, and
  /// delays reach 6 s.
  void Send(std::uint32_t to, const std::function<void()>& message) {
    const std::uint64_t delivery = random_.NextBelow(8);
    for (int copy = delivery == 1 ? 2 : 1; copy > 0 && delivery != 0; --copy) {
      const Duration delay = std::chrono::milliseconds(
          random_.NextBelow(4) == 0 ? random_.NextBelow(6000)
                                    : random_.NextBelow(50));
      hosts_[to]->inbox.emplace_back(now_ + delay, message);
    }
  }

  void Run(std::uint32_t i) {
    Host& host = *hosts_[i];
    Release(host);
    if (IsBusy(host)) {
      Dispatch(host);  // Before it can notice that it was paused.
    }
    host.holder->RecordHeartbeat();
    DeliverMessages(host);
    Probe(host);
    Control(host);
    ExchangeLoans(i);
    // Demand moves between hosts: the host that holds the seats is not always
    // the one that needs them.
    for (int tries = 0; tries < 3 && IsBusy(host); ++tries) {
      Dispatch(host);
    }
  }

  /// Three of four hosts are busy, changing every few seconds.
  [[nodiscard]] bool IsBusy(const Host& host) const {
    const auto phase =
        static_cast<std::uint32_t>(now_ / std::chrono::seconds(9));
    return (phase * 7 + host.index) % kHosts != 0;
  }

  void DeliverMessages(Host& host) {
    std::vector<std::function<void()>> due;
    std::erase_if(host.inbox, [&](const auto& mail) {
      if (mail.first > now_) {
        return false;
      }
      due.push_back(mail.second);
      return true;
    });
    for (const auto& message : due) {
      message();
    }
  }

  void Probe(Host& host) {
    for (const auto& other : hosts_) {
      capacity::PeerEvidence& peer = host.answers[other->index];
      peer.host = other->name;
      peer.is_listed_live = other->is_listed;
      if (!other->is_paused) {
        peer.answered_at = host.clock.Now();
        peer.silent_for.reset();
        peer.claimed_seat = other->holder->Seat();
        peer.claimed_at = host.clock.Now();
        continue;
      }
      if (!peer.silent_for) {
        host.failed_since[other->index] = host.clock.Now();
      }
      peer.silent_for = host.clock.Now() - host.failed_since[other->index];
    }
  }

  void Control(Host& host) {
    capacity::DomainEvidence evidence{.is_list_fresh = true};
    for (const auto& [index, peer] : host.answers) {
      if (index != host.index) {
        evidence.peers.push_back(peer);
      }
    }
    const std::uint32_t seats = seats_of_revision_[host.revision - 1];
    host.holder->Step(seats, host.revision, evidence);
    const auto standing = host.holder->State();
    counts_.doubtful_steps +=
        standing == capacity::SeatState::kUnconfirmed ? 1 : 0;
    const auto seat = host.holder->Seat();
    const auto unanimous = host.holder->UnanimousRevision();
    const std::uint32_t amount =
        seat ? capacity::SplitLimit(kLimitName, kLimit, seats, *seat) : 0;
    if (seat && !host.had_seat) {
      ++counts_.takeovers;
      host.transition.Begin(host.revision, amount, unanimous);
    }
    host.transition.Propose(host.revision, amount);
    host.transition.Confirm(unanimous, host.clock.Now());
    host.had_seat = seat.has_value();
    host.book->SetOwn(kLimitName, seat ? host.transition.Amount() : 0);
    host.book->SetOwnValidUntil(host.holder->ValidUntil());
  }

  void ExchangeLoans(std::uint32_t i) {
    Host& host = *hosts_[i];
    const auto lender = static_cast<std::uint32_t>(random_.NextBelow(kHosts));
    if (lender != i && host.book->State(kLimitName).Free() == 0) {
      SendBorrowRequest(i,
                        host.book->Borrow(kLimitName, 1, hosts_[lender]->name));
    }
    for (const capacity::OutgoingShareRequest& ask : host.book->Renewals()) {
      SendBorrowRequest(i, ask);
    }
    for (const capacity::OutgoingShareRequest& ask : host.book->Returns()) {
      const std::uint32_t to = IndexOf(ask.lender);
      Send(to,
           [this, to, ask] { hosts_[to]->book->AcceptReturn(ask.request); });
    }
  }

  void SendBorrowRequest(std::uint32_t from,
                         const capacity::OutgoingShareRequest& ask) {
    const std::uint32_t to = IndexOf(ask.lender);
    const std::uint64_t incarnation = hosts_[from]->incarnation;
    Send(to, [this, from, to, ask, incarnation] {
      const capacity::ShareGrant grant = hosts_[to]->book->Lend(ask.request);
      Send(from, [this, from, ask, grant, incarnation] {
        if (hosts_[from]->incarnation == incarnation) {
          hosts_[from]->book->Apply(ask, grant);
        }
      });
    });
  }

  void Release(Host& host) {
    std::erase_if(host.uses, [&](const auto& use) {
      if (use.second > now_) {
        return false;
      }
      host.book->Release(use.first);
      return true;
    });
  }

  void Dispatch(Host& host) {
    const auto use = host.book->TryAcquire(kLimitName);
    if (!use) {
      return;
    }
    ++counts_.dispatches;
    counts_.dispatches_on_loans += use->loan == 0 ? 0 : 1;
    // Half of the work runs until its deadline.
    const Duration work = random_.NextBelow(2) == 0
                              ? rules_.max_work
                              : std::chrono::milliseconds(700);
    host.uses.emplace_back(*use, now_ + work);
    running_.push_back(now_ + work);
  }

  [[nodiscard]] std::uint32_t IndexOf(const HostName& host) const {
    return static_cast<std::uint32_t>(host.Value().back() - '0');
  }

  fakes::SeededRandom random_;
  capacity::LeaseRules rules_;
  fakes::FakeTableStore store_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::uint32_t> seats_of_revision_{3};
  std::vector<Duration> running_;  ///< End time of each running request.
  Duration now_{};
  Counts counts_;
};

}  // namespace medlarcroft::testing

#endif  // MEDLARCROFT_TESTS_PROPERTY_DOMAIN_MODEL_H_
