#include "medlarcroft/resources/memory_account.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlarcroft::resources {

namespace {

// How long a client may send nothing while others wait for the room that it
// holds. A packet that is lost is sent again sooner, as a rule.
constexpr Duration kPatience = std::chrono::milliseconds(1000);
// The same while a small request waits.
constexpr Duration kPatienceForSmall = std::chrono::milliseconds(250);
// How long a client may read nothing meanwhile: it loses a response. A slow one
// acknowledges something every second.
constexpr Duration kPatienceForReading = std::chrono::seconds(3);
// How long a client waits for room. Longer than it takes to find those that
// stall; clients give up a request that is not read for about that long.
constexpr Duration kMaxWait = std::chrono::milliseconds(1500);
// Less than this within `kPatience` is no progress: single bytes would hold
// room for ever.
constexpr std::size_t kMinProgress = 1024;
// Beyond this times what unread responses should take, patience ends.
constexpr std::size_t kUnreadFactor = 2;

// Left for the process's own state.
constexpr std::size_t kOwnBytes = std::size_t{24} * 1024 * 1024;
constexpr std::size_t kMinTotal = std::size_t{2} * 1024 * 1024;

constexpr std::array<std::string_view, 7> kReasonNames = {
    "stalled", "no-room", "all-wait", "too-large",
    "repeat",  "largest", "unread"};

bool IsIncomingAnswer(HolderKind kind) {
  return kind == HolderKind::kAnswer || kind == HolderKind::kAnnouncedAnswer ||
         kind == HolderKind::kStoreAnswer;
}

}  // namespace

std::string_view NameOf(GiveWayReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

// Five eighths: on a host of 112 MB a body of 64 MiB fits beside what small
// requests may take, and the rest is for the program and its tables.
MemoryLimits MemoryLimits::Of(std::size_t bytes) {
  const std::size_t after_own = bytes > kOwnBytes ? bytes - kOwnBytes : 0;
  const std::size_t total =
      std::max(kMinTotal, std::min(bytes / 8 * 5, after_own));
  return {.total = total,
          .small_part = total / 16,
          .answers = bytes / 16,
          .store_answers = bytes / 8,
          .responses = bytes / 8};
}

template <typename Rank>
MemoryAccount::Id MemoryAccount::FindMost(Rank rank) const {
  Id best = 0;
  std::size_t most = 0;
  for (const auto& [id, holder] : holders_) {
    if (const std::size_t value = rank(holder); value > most) {
      best = id;
      most = value;
    }
  }
  return best;
}

std::size_t MemoryAccount::Unread() const {
  const std::size_t unread = HeldBy(HolderKind::kResponse);
  if (unread <= limits_.responses) {
    return unread;
  }
  const std::size_t largest = HeldBy(FindMost([](const Holder& holder) {
    return holder.kind == HolderKind::kResponse ? holder.bytes : 0;
  }));
  return largest > limits_.responses ? unread - largest : unread;
}

MemoryAccount::Id MemoryAccount::Open(HolderKind kind, MonotonicTime now) {
  holders_.emplace(++last_, Holder{.kind = kind, .progress_at = now});
  return last_;
}

void MemoryAccount::Close(Id id) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) {
    return;
  }
  Change(found->second, 0);
  std::erase(waiting_, id);
  holders_.erase(found);
}

void MemoryAccount::StopWaiting(Id id) {
  const auto found = holders_.find(id);
  if (found != holders_.end() && std::exchange(found->second.wanted, 0) > 0) {
    std::erase(waiting_, id);
  }
}

void MemoryAccount::Set(Id id, std::size_t bytes) {
  const auto found = holders_.find(id);
  if (found != holders_.end()) {
    Change(found->second, bytes);
  }
}

void MemoryAccount::Change(Holder& holder, std::size_t bytes) {
  std::size_t& of_kind = by_kind_.at(static_cast<std::size_t>(holder.kind));
  of_kind = of_kind - holder.bytes + bytes;
  total_ = total_ - holder.bytes + bytes;
  holder.bytes = bytes;
}

void MemoryAccount::SetKind(Id id, HolderKind kind, MonotonicTime now) {
  const auto found = holders_.find(id);
  if (found == holders_.end() || found->second.kind == kind) {
    return;
  }
  Holder& holder = found->second;
  const std::size_t bytes = holder.bytes;
  Change(holder, 0);
  holder.kind = kind;
  Change(holder, bytes);
  holder.progress_at = now;
  holder.progressed = 0;
  holder.is_leaving = false;
  if (std::exchange(holder.wanted, 0) > 0) {
    std::erase(waiting_, id);
  }
}

void MemoryAccount::OnProgress(Id id, std::size_t bytes, MonotonicTime now) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) {
    return;
  }
  Holder& holder = found->second;
  holder.progressed += bytes;
  if (holder.progressed >= kMinProgress ||
      holder.kind == HolderKind::kResponse) {
    holder.progressed = 0;
    holder.progress_at = now;
  }
}

std::size_t MemoryAccount::HeldBy(Id id) const {
  const auto found = holders_.find(id);
  return found == holders_.end() ? 0 : found->second.bytes;
}

bool MemoryAccount::IsSmall(const Holder& holder, std::size_t more) const {
  return holder.bytes + more <= limits_.small ||
         holder.kind == HolderKind::kStoreAnswer;
}

bool MemoryAccount::Fits(const Holder& holder, std::size_t more) const {
  const std::size_t limit =
      IsSmall(holder, more) ? limits_.total : limits_.Largest();
  return total_ + more <= limit;
}

std::size_t MemoryAccount::CeilingOf(HolderKind kind) const {
  switch (kind) {
    case HolderKind::kAnswer:
      return limits_.answers;
    case HolderKind::kStoreAnswer:
      return limits_.store_answers;
    default:
      return limits_.total;
  }
}

void MemoryAccount::Grant(Holder& holder, Id id, std::size_t bytes) {
  Change(holder, holder.bytes + bytes);
  if (std::exchange(holder.wanted, 0) > 0) {
    std::erase(waiting_, id);
  }
}

MemoryAccount::Decision MemoryAccount::Ask(Id id,
                                           std::size_t bytes,
                                           MonotonicTime now) {
  const auto found = holders_.find(id);
  if (found == holders_.end() || found->second.is_leaving) {
    return {.answer = Answer::kRefused};
  }
  Holder& holder = found->second;
  if (IsIncomingAnswer(holder.kind)) {
    return AskAsAnswer(id, bytes, now);
  }
  if (Fits(holder, bytes)) {
    Grant(holder, id, bytes);
    return {};
  }
  if (holder.bytes + bytes > limits_.Largest()) {
    return {.answer = Answer::kRefused, .reason = GiveWayReason::kTooLarge};
  }
  if (const auto victim = FindVictimFor(IsSmall(holder, bytes), now);
      victim && victim->holder != id) {
    return {.answer = Answer::kGiveWay,
            .holder = victim->holder,
            .reason = victim->reason};
  }
  if (holder.kind != HolderKind::kRequest) {
    return {.answer = Answer::kRefused, .reason = GiveWayReason::kNoRoom};
  }
  if (holder.wanted == 0) {
    holder.waiting_since = now;
    waiting_.push_back(id);
  }
  holder.wanted = bytes;
  return {.answer = Answer::kWait};
}

// Guards against a host that runs out of memory because responses never end.
// The largest of them fails, so that one that never ends fails first.
MemoryAccount::Decision MemoryAccount::AskAsAnswer(Id id,
                                                   std::size_t bytes,
                                                   MonotonicTime now) {
  Holder& holder = holders_.at(id);
  const HolderKind kind = holder.kind;
  const bool is_over_ceiling = HeldBy(kind) + bytes > CeilingOf(kind);
  if (!is_over_ceiling && Fits(holder, bytes)) {
    Grant(holder, id, bytes);
    return {};
  }
  if (!is_over_ceiling) {
    if (const auto victim = FindVictimForSmall(now)) {
      return {.answer = Answer::kGiveWay,
              .holder = victim->holder,
              .reason = victim->reason};
    }
  }
  const Id largest = FindMost([kind](const Holder& other) {
    return other.kind == kind && !other.is_leaving ? other.bytes : 0;
  });
  if (largest == 0 || largest == id) {
    return {.answer = Answer::kRefused, .reason = GiveWayReason::kLargest};
  }
  const Victim victim = Expel(largest, GiveWayReason::kLargest);
  return {.answer = Answer::kGiveWay,
          .holder = victim.holder,
          .reason = victim.reason};
}

MemoryAccount::Victim MemoryAccount::Expel(Id id, GiveWayReason reason) {
  Holder& holder = holders_.at(id);
  holder.is_leaving = true;
  if (std::exchange(holder.wanted, 0) > 0) {
    std::erase(waiting_, id);
  }
  return {.holder = id, .reason = reason};
}

// What costs least goes first: a copy that only a repeat would need, then the
// most that is held without progress by a client that can be told that nothing
// ran, then responses that nobody reads.
std::optional<MemoryAccount::Victim> MemoryAccount::FindVictim(
    Duration patience,
    MonotonicTime now) {
  const Id repeat = FindMost([](const Holder& other) {
    const bool qualifies =
        other.kind == HolderKind::kRepeat && !other.is_leaving;
    return qualifies ? other.bytes : 0;
  });
  if (repeat != 0) {
    return Expel(repeat, GiveWayReason::kRepeat);
  }
  const Id stalled = FindMost([patience, now](const Holder& other) {
    const bool qualifies = other.kind == HolderKind::kRequest &&
                           !other.is_leaving && other.wanted == 0 &&
                           now - other.progress_at >= patience;
    return qualifies ? other.bytes : 0;
  });
  if (stalled != 0) {
    return Expel(stalled, GiveWayReason::kStalled);
  }
  const Id unread = FindMost([now](const Holder& other) {
    const bool qualifies = other.kind == HolderKind::kResponse &&
                           !other.is_leaving &&
                           now - other.progress_at >= kPatienceForReading;
    return qualifies ? other.bytes : 0;
  });
  if (unread != 0) {
    return Expel(unread, GiveWayReason::kUnread);
  }
  return std::nullopt;
}

// Guards against small requests that starve: a large one takes its first part
// from what is theirs, before anybody knows that it is large. If it waits for
// more, it gives that back; who came last goes first.
std::optional<MemoryAccount::Victim> MemoryAccount::FindVictimForSmall(
    MonotonicTime now) {
  if (const auto victim = FindVictim(kPatienceForSmall, now)) {
    return victim;
  }
  Id last = 0;
  for (const Id id : waiting_) {
    const Holder& holder = holders_.at(id);
    if (!IsSmall(holder, holder.wanted) && holder.bytes > 0) {
      last = std::max(last, id);
    }
  }
  return last == 0 ? std::nullopt
                   : std::optional(Expel(last, GiveWayReason::kAllWait));
}

std::optional<MemoryAccount::Victim> MemoryAccount::FindVictimFor(
    bool is_small,
    MonotonicTime now) {
  return is_small ? FindVictimForSmall(now) : FindVictim(kPatience, now);
}

std::optional<MemoryAccount::Victim> MemoryAccount::FindUnread(
    MonotonicTime now) {
  if (HasRoomForResponses()) {
    return std::nullopt;
  }
  const Id unread = FindMost([now](const Holder& other) {
    const Duration silent = now - other.progress_at;
    const bool qualifies = other.kind == HolderKind::kResponse &&
                           !other.is_leaving && other.bytes > 0 &&
                           silent >= kPatienceForReading;
    return qualifies ? static_cast<std::size_t>(silent.count()) : 0;
  });
  return unread == 0 ? std::nullopt
                     : std::optional(Expel(unread, GiveWayReason::kUnread));
}

std::optional<MemoryAccount::Victim> MemoryAccount::FindExcess(
    MonotonicTime now) {
  const bool is_over = total_ > limits_.total;
  if (!is_over && Unread() <= kUnreadFactor * limits_.responses) {
    return std::nullopt;
  }
  if (is_over) {
    if (const auto victim = FindVictim(Duration(0), now)) {
      return victim;
    }
  }
  const Id unread = FindMost([now](const Holder& other) {
    const bool qualifies = other.kind == HolderKind::kResponse &&
                           !other.is_leaving && other.bytes > 0;
    return qualifies
               ? static_cast<std::size_t>((now - other.progress_at).count()) + 1
               : 0;
  });
  return unread == 0 ? std::nullopt
                     : std::optional(Expel(unread, GiveWayReason::kUnread));
}

std::vector<MemoryAccount::Id> MemoryAccount::TakeRoom() {
  std::vector<Id> ready;
  std::size_t given = 0;
  for (const bool is_small : {true, false}) {
    for (const Id id : waiting_) {
      const Holder& holder = holders_.at(id);
      if (IsSmall(holder, holder.wanted) == is_small &&
          Fits(holder, holder.wanted + given)) {
        given += holder.wanted;
        ready.push_back(id);
      }
    }
  }
  return ready;
}

bool MemoryAccount::IsAnyAtWork() const {
  return std::ranges::any_of(holders_, [](const auto& entry) {
    const Holder& holder = entry.second;
    return holder.bytes > 0 && holder.wanted == 0;
  });
}

// Guards against holders that wait for each other for good: all have a part of
// what they need. Whoever came last gives way, so the first gets to its end.
std::vector<MemoryAccount::Victim> MemoryAccount::Advance(MonotonicTime now) {
  std::vector<Victim> victims;
  const std::vector<Id> waiting = waiting_;
  for (const Id id : waiting) {
    if (now - holders_.at(id).waiting_since >= kMaxWait) {
      victims.push_back(Expel(id, GiveWayReason::kNoRoom));
    }
  }
  if (waiting_.empty()) {
    return victims;
  }
  const auto small = std::ranges::find_if(waiting_, [this](Id id) {
    const Holder& holder = holders_.at(id);
    return IsSmall(holder, holder.wanted);
  });
  const bool is_small = small != waiting_.end();
  const Holder& first = holders_.at(is_small ? *small : waiting_.front());
  if (Fits(first, first.wanted)) {
    return victims;
  }
  if (const auto victim = FindVictimFor(is_small, now)) {
    victims.push_back(*victim);
  } else if (victims.empty() && !IsAnyAtWork()) {
    victims.push_back(
        Expel(*std::ranges::max_element(waiting_), GiveWayReason::kAllWait));
  }
  return victims;
}

}  // namespace medlarcroft::resources
