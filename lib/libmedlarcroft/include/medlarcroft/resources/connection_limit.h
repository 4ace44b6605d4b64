#ifndef MEDLARCROFT_RESOURCES_CONNECTION_LIMIT_H_
#define MEDLARCROFT_RESOURCES_CONNECTION_LIMIT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace medlarcroft::resources {

/// @brief What a client's connection has brought, the least first.
enum class ConnectionState {
  kSilent,   ///< Nothing yet.
  kHead,     ///< A part of its first request's head.
  kIdle,     ///< Requests that are answered.
  kReading,  ///< A further request, or a request's body, not whole yet.
  kServing,  ///< A request that awaits its response, or a response to read.
};
inline constexpr std::size_t kConnectionStates = 5;

/// @brief The bound on the connections of all clients of a process, which
/// leaves descriptors for targets, the store and other hosts. Decides who gives
/// way to a new one; does no I/O.
class ConnectionLimit {
 public:
  using Id = std::uint64_t;

  explicit ConnectionLimit(std::size_t limit) : limit_(limit) {}

  /// @return the part of a process's descriptors that clients may take.
  [[nodiscard]] static std::size_t PartOf(std::size_t descriptors) {
    return descriptors / 2;
  }

  [[nodiscard]] Id Add();
  void SetState(Id id, ConnectionState state);
  void Remove(Id id);

  /// @return who gives way for `newcomer`, while there are more than allowed:
  /// of those that have brought least, the one that has been so for longest.
  /// Never one that is being served, nor the newcomer, which has had no time to
  /// bring anything; nullopt also if only such ones are left.
  [[nodiscard]] std::optional<Id> FindExcess(Id newcomer) const;
  [[nodiscard]] bool IsExceeded() const { return entries_.size() > limit_; }
  /// @return as `FindExcess`, whether or not there are too many.
  [[nodiscard]] std::optional<Id> FindLeast(Id newcomer = 0) const;
  [[nodiscard]] std::size_t Size() const { return entries_.size(); }
  [[nodiscard]] std::size_t Limit() const { return limit_; }

 private:
  struct Entry {
    ConnectionState state = ConnectionState::kSilent;
    std::list<Id>::iterator place;
  };

  [[nodiscard]] std::list<Id>& ListOf(ConnectionState state) {
    return by_state_.at(static_cast<std::size_t>(state));
  }

  const std::size_t limit_;
  std::array<std::list<Id>, kConnectionStates> by_state_;
  std::unordered_map<Id, Entry> entries_;
  Id last_ = 0;
};

}  // namespace medlarcroft::resources

#endif  // MEDLARCROFT_RESOURCES_CONNECTION_LIMIT_H_
