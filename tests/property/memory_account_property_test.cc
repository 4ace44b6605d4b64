#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fakes/seeded_random.h"
#include "medlarcroft/resources/memory_account.h"

namespace medlarcroft::resources {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kRead = 16 * kKilobyte;
constexpr MemoryLimits kLimits = {.total = 4096 * kKilobyte,
                                  .small_part = 256 * kKilobyte,
                                  .small = 64 * kKilobyte,
                                  .answers = 512 * kKilobyte,
                                  .responses = 512 * kKilobyte};
// A small request is refused only if it waited so long.
constexpr Duration kMaxWait = milliseconds(1600);
constexpr Duration kStep = milliseconds(50);
constexpr int kSteps = 600;

/// @brief One request: its body arrives, it is at work, it ends.
struct Request {
  std::size_t size = 0;
  std::size_t arrived = 0;
  bool stalls = false;  ///< Before its end, for good.
  bool is_waiting = false;
  std::optional<MonotonicTime> waiting_since;
  std::optional<MonotonicTime> done_at;
};

/// @brief Random holders that come, stall and end, against one account.
class Clients {
 public:
  explicit Clients(std::uint64_t seed) : random_(seed) {}

  void Step(MonotonicTime now) {
    now_ = now;
    if (random_.NextBelow(3) == 0 && requests_.size() < 40) {
      Begin();
    }
    std::erase_if(requests_, [&](const auto& entry) {
      const bool has_ended = entry.second.done_at <= now_;
      if (has_ended && entry.second.done_at) {
        account_.Close(entry.first);
      }
      return has_ended && entry.second.done_at;
    });
    for (const MemoryAccount::Id id : account_.TakeRoom()) {
      requests_.at(id).is_waiting = false;
    }
    std::vector<MemoryAccount::Id> open;
    for (const auto& [id, request] : requests_) {
      open.push_back(id);
    }
    for (const MemoryAccount::Id id : open) {
      if (requests_.contains(id)) {
        Read(id);
      }
    }
    for (const auto& victim : account_.Advance(now_)) {
      GiveWay(victim.holder, victim.reason);
    }
  }

  [[nodiscard]] const MemoryAccount& Account() const { return account_; }
  [[nodiscard]] int ServedSmall() const { return served_small_; }
  [[nodiscard]] int ServedLarge() const { return served_large_; }
  [[nodiscard]] int RefusedSmall() const { return refused_small_; }
  /// @return the longest that one has been kept waiting.
  [[nodiscard]] Duration LongestWait() const {
    Duration longest{0};
    for (const auto& [id, request] : requests_) {
      if (request.waiting_since) {
        longest = std::max(longest, now_ - *request.waiting_since);
      }
    }
    return longest;
  }

 private:
  void Begin() {
    const bool is_large = random_.NextBelow(2) == 0;
    const std::size_t most = (is_large ? 3000 : 32) * kKilobyte;
    requests_.emplace(account_.Open(HolderKind::kRequest, now_),
                      Request{.size = 1 + random_.NextBelow(most),
                              .stalls = is_large && random_.NextBelow(2) == 0});
  }

  void Read(MemoryAccount::Id id) {
    Request& request = requests_.at(id);
    const bool has_stalled =
        request.stalls && request.arrived > request.size / 2;
    if (request.done_at || request.is_waiting || has_stalled) {
      return;
    }
    const int reads = 1 + static_cast<int>(random_.NextBelow(12));
    for (int i = 0; i < reads && !request.done_at; ++i) {
      const std::size_t bytes = std::min(kRead, request.size - request.arrived);
      if (!HasRoom(id, bytes)) {
        return;
      }
      request.waiting_since.reset();
      request.arrived += bytes;
      account_.OnProgress(id, bytes, now_);
      if (request.arrived == request.size) {
        End(id);
      }
    }
  }

  bool HasRoom(MemoryAccount::Id id, std::size_t bytes) {
    while (true) {
      const auto decision = account_.Ask(id, bytes, now_);
      switch (decision.answer) {
        case MemoryAccount::Answer::kGranted:
          return true;
        case MemoryAccount::Answer::kWait: {
          Request& request = requests_.at(id);
          request.is_waiting = true;
          request.waiting_since = request.waiting_since.value_or(now_);
          return false;
        }
        case MemoryAccount::Answer::kRefused:
          GiveWay(id, decision.reason);
          return false;
        case MemoryAccount::Answer::kGiveWay:
          RC_ASSERT(decision.holder != id);
          GiveWay(decision.holder, decision.reason);
      }
    }
  }

  void End(MemoryAccount::Id id) {
    Request& request = requests_.at(id);
    account_.SetKind(id, HolderKind::kRunning, now_);
    request.done_at = now_ + kStep * static_cast<int>(random_.NextBelow(10));
    ++(request.size <= kLimits.small ? served_small_ : served_large_);
  }

  void GiveWay(MemoryAccount::Id id, GiveWayReason reason) {
    const Request& request = requests_.at(id);
    if (request.size <= kLimits.small && !request.stalls) {
      RC_LOG() << NameOf(reason) << ": " << request.arrived << " of "
               << request.size << " bytes\n";
      ++refused_small_;
    }
    account_.Close(id);
    requests_.erase(id);
  }

  fakes::SeededRandom random_;
  MemoryAccount account_{kLimits};
  MonotonicTime now_{};
  std::map<MemoryAccount::Id, Request> requests_;
  int served_small_ = 0;
  int served_large_ = 0;
  int refused_small_ = 0;
};

// Guards against an account that grows beyond its bound, holders that wait for
// each other for good, and small requests that large ones starve.
TEST(MemoryAccountProperty, IsBoundedNeverStuckAndFairToSmallRequests) {
  const bool holds = rc::check([](std::uint64_t seed) {
    Clients clients(seed);
    MonotonicTime now{std::chrono::hours(1)};
    int served_before = 0;
    for (int step = 1; step <= kSteps; ++step) {
      now += kStep;
      clients.Step(now);
      RC_ASSERT(clients.Account().Total() <= kLimits.total);
      RC_ASSERT(clients.LongestWait() <= kMaxWait);
      if (step % 200 == 0) {
        const int served = clients.ServedSmall() + clients.ServedLarge();
        RC_ASSERT(served > served_before);
        served_before = served;
      }
    }
    RC_ASSERT(clients.RefusedSmall() == 0);
    RC_ASSERT(clients.ServedSmall() > 0);
    RC_ASSERT(clients.ServedLarge() > 0);
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace medlarcroft::resources
