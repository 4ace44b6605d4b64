#ifndef MEDLARCROFT_ADAPTERS_PROCESS_CLIENT_BOUNDS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_CLIENT_BOUNDS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
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
/// serves it has noticed. Nobody waits: a request without room is refused.
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
  const ports::Clock& clock_;
  mutable std::mutex mutex_;
  resources::MemoryAccount account_;
  std::unordered_map<Id, int> descriptors_;
  std::atomic<std::uint64_t> gave_way_{0};
  std::atomic<std::uint64_t> refused_{0};
};

/// @brief The clients' connections of one listener; any thread may use it.
class ListenerConnections {
 public:
  using Id = resources::ConnectionLimit::Id;

  explicit ListenerConnections(std::size_t limit) : limit_(limit) {}

  /// @brief Adds a connection, and closes the one that gives way for it.
  /// @param descriptor must stay open until `Remove`.
  Id Add(int descriptor);
  void Remove(Id id);
  void SetState(Id id, resources::ConnectionState state);

  /// @return whether so many are there, those included whose end no thread has
  /// noticed, that a further one must be refused at once.
  [[nodiscard]] bool IsFull() const;
  /// @return connections closed for others.
  [[nodiscard]] std::uint64_t GaveWay() const { return gave_way_; }

 private:
  mutable std::mutex mutex_;
  resources::ConnectionLimit limit_;
  std::unordered_map<Id, int> descriptors_;
  std::atomic<std::uint64_t> gave_way_{0};
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_CLIENT_BOUNDS_H_
