#ifndef MEDLARCROFT_ADAPTERS_PROCESS_CLIENT_BOUNDS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_CLIENT_BOUNDS_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/resources/connection_limit.h"
#include "medlarcroft/resources/memory_account.h"

namespace medlarcroft::adapters {

/// @brief What the clients of a process with several threads may take: carries
/// out what `MemoryAccount` decides. Any thread may use it.
///
/// Who gives way loses its connection; its room is free once the thread that
/// serves it has noticed. Nobody waits: a request without room is refused, and
/// so is one that gave way and of which more has arrived.
class ClientMemory {
 public:
  using Id = resources::MemoryAccount::Id;

  ClientMemory(const ports::Clock& clock, const resources::MemoryLimits& limits)
      : clock_(clock), account_(limits) {}

  /// @param descriptor of the connection that the holder loses if it gives way;
  /// must stay open until `Close`.
  [[nodiscard]] Id Open(int descriptor);
  void Close(Id id);
  /// @brief Asks for `bytes` more.
  /// @param arrived what the peer has sent.
  /// @return whether they are charged.
  [[nodiscard]] bool Ask(Id id, std::size_t bytes, std::size_t arrived);
  /// @brief All of the request is there, and is at work.
  void OnWhole(Id id);

  [[nodiscard]] std::size_t Total() const;
  [[nodiscard]] const resources::MemoryLimits& Limits() const {
    return account_.Limits();
  }
  [[nodiscard]] std::uint64_t GaveWay() const { return gave_way_; }
  [[nodiscard]] std::uint64_t Refused() const { return refused_; }

 private:
  struct Holder {
    int descriptor = -1;
    bool is_leaving = false;
  };

  void Expel(Id id);

  const ports::Clock& clock_;
  mutable std::mutex mutex_;
  resources::MemoryAccount account_;
  std::unordered_map<Id, Holder> holders_;
  std::atomic<std::uint64_t> gave_way_{0};
  std::atomic<std::uint64_t> refused_{0};
};

/// @return for how long no byte has moved on a connection; none while something
/// that has arrived is unread.
[[nodiscard]] Duration SilenceOf(int descriptor);

/// @brief The clients' connections of one listener; any thread may use it.
///
/// A connection leaves by the end of its input: its thread first gets what has
/// arrived, serves what is whole, and then closes it.
class ListenerConnections {
 public:
  using Id = resources::ConnectionLimit::Id;

  explicit ListenerConnections(std::size_t limit) : limit_(limit) {}

  /// @brief Adds a connection, and lets the one leave that gives way for it.
  /// @param descriptor must stay open until `Remove`.
  Id Add(int descriptor);
  void Remove(Id id);
  void SetState(Id id, resources::ConnectionState state);

  /// @brief Lets those leave that were silent for `idle_timeout`, but for those
  /// being served; closes those that don't read their response for so long.
  void LetIdleLeave(Duration idle_timeout);
  /// @brief Lets all leave.
  void LetAllLeave();
  /// @return whether a response is the last one of its connection.
  [[nodiscard]] bool IsLeaving(Id id) const;
  [[nodiscard]] bool IsEmpty() const;

  /// @return whether so many are there, those included whose end no thread has
  /// noticed, that a further one must be refused at once.
  [[nodiscard]] bool IsFull() const;
  /// @return connections closed for others.
  [[nodiscard]] std::uint64_t GaveWay() const { return gave_way_; }

 private:
  struct Connection {
    int descriptor = -1;
    resources::ConnectionState state = resources::ConnectionState::kSilent;
    bool is_leaving = false;
    std::chrono::steady_clock::time_point next_check;
  };

  void Leave(Id id);
  void CloseOldestLeaving();

  mutable std::mutex mutex_;
  resources::ConnectionLimit limit_;
  std::unordered_map<Id, Connection> connections_;
  std::deque<Id> leaving_;
  std::atomic<std::uint64_t> gave_way_{0};
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_CLIENT_BOUNDS_H_
