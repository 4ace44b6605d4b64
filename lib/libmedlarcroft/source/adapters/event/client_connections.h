#ifndef MEDLARCROFT_ADAPTERS_EVENT_CLIENT_CONNECTIONS_H_
#define MEDLARCROFT_ADAPTERS_EVENT_CLIENT_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "adapters/event/event_loop.h"
#include "medlarcroft/resources/connection_limit.h"

namespace medlarcroft::adapters {

/// @brief The connections of all clients of a process with one event loop:
/// closes those that `ConnectionLimit` names, and takes turns among those that
/// have sent further requests ahead.
class ClientConnections
    : public std::enable_shared_from_this<ClientConnections> {
 public:
  using Id = resources::ConnectionLimit::Id;
  /// @brief Closes a connection at once, unless its client turns out to have
  /// brought more than was known; the state says so afterwards.
  /// @return whether it is closed.
  using CloseTask = std::function<bool()>;

  ClientConnections(EventLoop& loop, std::size_t limit)
      : loop_(loop), limit_(limit) {}

  /// @brief Adds a connection, which another one may give way for.
  /// @param is_reserved its port has few connections, and gets this one even
  /// if all others are being served: probes of readiness must come through.
  /// @return 0 if there is no room.
  [[nodiscard]] Id Add(CloseTask close, bool is_reserved);
  void Remove(Id id);
  void SetState(Id id, resources::ConnectionState state) {
    limit_.SetState(id, state);
  }
  /// @brief The process has no descriptor left: closes a connection.
  void FreeOne();

  /// @brief Runs `task`, one in each turn of the loop: all that was sent ahead
  /// would otherwise be served before the requests of others are read.
  void TakeTurn(std::function<void()> task);

  [[nodiscard]] std::size_t Size() const { return limit_.Size(); }
  /// @return connections closed for others.
  [[nodiscard]] std::uint64_t GaveWay() const { return gave_way_; }
  /// @return connections that found no room.
  [[nodiscard]] std::uint64_t Refused() const { return refused_; }

 private:
  bool Close(Id id);
  void RunNextTurn();

  EventLoop& loop_;
  resources::ConnectionLimit limit_;
  std::unordered_map<Id, CloseTask> closes_;
  std::deque<std::function<void()>> turns_;
  std::uint64_t gave_way_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_CLIENT_CONNECTIONS_H_
