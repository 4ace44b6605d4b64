#ifndef MEDLARCROFT_RESOURCES_MEMORY_ACCOUNT_H_
#define MEDLARCROFT_RESOURCES_MEMORY_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "medlarcroft/core/time.h"

namespace medlarcroft::resources {

/// @brief What bytes are held for, which decides who gives way.
enum class HolderKind {
  kRequest,  ///< A request that has not arrived whole; nothing was sent on.
  kRunning,  ///< A whole request that is at work.
  kRepeat,   ///< A body that was sent whole, and is kept for a repeat.
  kAnswer,   ///< A target's response that has not arrived whole.
  kAnnouncedAnswer,  ///< The same, of a length that it has announced.
  kStoreAnswer,      ///< The same, of the store or of another host's rows.
  kResponse,         ///< A response that its client has not read.
};
inline constexpr std::size_t kHolderKinds = 7;

/// @brief Why a holder gives way.
enum class GiveWayReason {
  kStalled,   ///< Its client sends nothing more, and others need the room.
  kNoRoom,    ///< It waited for room as long as a client may be kept waiting.
  kAllWait,   ///< All wait for each other, and it came last.
  kTooLarge,  ///< It can never have the room.
  kRepeat,    ///< Others need the room more than a repeat does.
  kLargest,   ///< Responses that come in take too much, and it takes most.
  kUnread,    ///< Its client reads nothing, and others need the room.
};

inline constexpr std::array kGiveWayReasons = {
    GiveWayReason::kStalled,  GiveWayReason::kNoRoom, GiveWayReason::kAllWait,
    GiveWayReason::kTooLarge, GiveWayReason::kRepeat, GiveWayReason::kLargest,
    GiveWayReason::kUnread};

[[nodiscard]] std::string_view NameOf(GiveWayReason reason);

/// @brief What a process may hold for others.
struct MemoryLimits {
  /// All of it, bytes.
  std::size_t total = std::size_t{160} * 1024 * 1024;
  /// The part that only holders of at most `small` bytes and the store's
  /// responses may take.
  std::size_t small_part = std::size_t{10} * 1024 * 1024;
  std::size_t small = std::size_t{64} * 1024;
  /// Responses that come in, together; those of an announced length apart.
  std::size_t answers = std::size_t{16} * 1024 * 1024;
  std::size_t store_answers = std::size_t{32} * 1024 * 1024;
  /// Responses that clients have not read, together; up to twice that while
  /// they come.
  std::size_t responses = std::size_t{32} * 1024 * 1024;

  /// @return the limits of a process that may take `bytes` in all.
  [[nodiscard]] static MemoryLimits Of(std::size_t bytes);
  /// @return what a single large holder may have.
  [[nodiscard]] std::size_t Largest() const { return total - small_part; }
};

/// @brief The one account of the bytes that a process holds for others:
/// requests, responses, relays and what is being sent. Decides who gets room
/// and who gives way; does no I/O.
///
/// Whoever is told to give way must `Set` or `Close` its holder at once.
class MemoryAccount {
 public:
  using Id = std::uint64_t;

  enum class Answer {
    kGranted,  ///< The bytes are charged.
    kWait,     ///< Read no further; `TakeRoom` or `Advance` names it later.
    kRefused,  ///< No room, and waiting is useless.
    kGiveWay,  ///< `holder` gives way; then ask again.
  };
  struct Decision {
    Answer answer = Answer::kGranted;
    Id holder = 0;
    GiveWayReason reason = GiveWayReason::kStalled;
  };
  struct Victim {
    Id holder = 0;
    GiveWayReason reason = GiveWayReason::kStalled;
  };

  explicit MemoryAccount(const MemoryLimits& limits) : limits_(limits) {}

  [[nodiscard]] Id Open(HolderKind kind, MonotonicTime now);
  void Close(Id id);
  /// @brief Asks for `bytes` more, before they are taken.
  [[nodiscard]] Decision Ask(Id id, std::size_t bytes, MonotonicTime now);
  /// @brief A holder that was told to wait does not.
  void StopWaiting(Id id);
  /// @brief States what a holder takes now.
  void Set(Id id, std::size_t bytes);
  void SetKind(Id id, HolderKind kind, MonotonicTime now);
  /// @brief The peer sent or read so many bytes.
  void OnProgress(Id id, std::size_t bytes, MonotonicTime now);

  /// @return who gives way since more is held than allowed, after a `Set` or
  /// `SetKind` that nobody was asked about; to be repeated until there is none.
  [[nodiscard]] std::optional<Victim> FindExcess(MonotonicTime now);
  /// @return a client that gives way before new requests are taken: it reads
  /// nothing, while unread responses take more than they should.
  [[nodiscard]] std::optional<Victim> FindUnread(MonotonicTime now);
  /// @return whether unread responses leave room for further requests.
  [[nodiscard]] bool HasRoomForResponses() const {
    return Unread() <= limits_.responses;
  }
  /// @return holders that waited, and may ask again.
  [[nodiscard]] std::vector<Id> TakeRoom();
  /// @brief To be called every `kAdvancePeriod` while `HasWaiting`.
  /// @return who gives way by now.
  [[nodiscard]] std::vector<Victim> Advance(MonotonicTime now);

  [[nodiscard]] bool HasWaiting() const { return !waiting_.empty(); }
  [[nodiscard]] std::size_t Total() const { return total_; }
  [[nodiscard]] std::size_t HeldBy(HolderKind kind) const {
    return by_kind_.at(static_cast<std::size_t>(kind));
  }
  [[nodiscard]] std::size_t HeldBy(Id id) const;
  [[nodiscard]] const MemoryLimits& Limits() const { return limits_; }
  /// @return what all holders of that kind may take together.
  [[nodiscard]] std::size_t CeilingOf(HolderKind kind) const;

  static constexpr Duration kAdvancePeriod = std::chrono::milliseconds(100);

 private:
  struct Holder {
    HolderKind kind = HolderKind::kRequest;
    std::size_t bytes = 0;
    std::size_t progressed = 0;  ///< Since `progress_at`.
    MonotonicTime progress_at{};
    /// What it waits for; 0: it does not wait.
    std::size_t wanted = 0;
    MonotonicTime waiting_since{};
    /// Was told to give way.
    bool is_leaving = false;
  };

  [[nodiscard]] bool IsSmall(const Holder& holder, std::size_t more) const;
  [[nodiscard]] bool Fits(const Holder& holder, std::size_t more) const;
  /// @return of those that qualify, the holder with the most by `rank`.
  template <typename Rank>
  [[nodiscard]] Id FindMost(Rank rank) const;
  /// @return what unread responses take. A single one that is larger than they
  /// should all be is not counted: it would shut out all others in calm.
  [[nodiscard]] std::size_t Unread() const;
  [[nodiscard]] std::optional<Victim> FindVictim(Duration patience,
                                                 MonotonicTime now);
  /// @return who gives way for a small request.
  [[nodiscard]] std::optional<Victim> FindVictimForSmall(MonotonicTime now);
  [[nodiscard]] std::optional<Victim> FindVictimFor(bool is_small,
                                                    MonotonicTime now);
  [[nodiscard]] Victim Expel(Id id, GiveWayReason reason);
  [[nodiscard]] Decision AskAsAnswer(Id id,
                                     std::size_t bytes,
                                     MonotonicTime now);
  void Grant(Holder& holder, Id id, std::size_t bytes);
  void Change(Holder& holder, std::size_t bytes);
  /// @return whether any that does not wait may free something.
  [[nodiscard]] bool IsAnyAtWork() const;

  const MemoryLimits limits_;
  std::size_t total_ = 0;
  std::array<std::size_t, kHolderKinds> by_kind_{};
  std::map<Id, Holder> holders_;  ///< The oldest first.
  std::vector<Id> waiting_;       ///< In the order in which they began to wait.
  Id last_ = 0;
};

}  // namespace medlarcroft::resources

#endif  // MEDLARCROFT_RESOURCES_MEMORY_ACCOUNT_H_
