#ifndef MEDLARCROFT_PROCESS_STOP_SEQUENCE_H_
#define MEDLARCROFT_PROCESS_STOP_SEQUENCE_H_

#include <cstddef>

#include "medlarcroft/core/time.h"

namespace medlarcroft::process {

/// @brief Phase of the graceful shutdown of a daemon.
enum class StopPhase {
  kServing,     ///< No shutdown requested.
  kAnnouncing,  ///< Peers and look-ups name other hosts; requests are served.
  kFinishing,   ///< New requests are rejected; those in flight may end.
  kStopped,     ///< The process may exit.
};

/// @brief State machine of a graceful shutdown, without I/O.
///
/// Guards against shutting down while callers still cache look-up answers that
/// name this host: their connections would be refused, or their requests
/// aborted. The host therefore announces first that it leaves and serves
/// requests until those answers have expired; then it accepts no new requests
/// and waits for those in flight. The wait is limited, so that a stuck request
/// cannot block the shutdown; a second signal ends the wait at once.
class StopSequence {
 public:
  struct Options {
    /// At least the longest TTL of look-up answers in the catalogue.
    Duration announce_time = std::chrono::seconds(6);
    /// Limit for requests in flight after the announcement; at least the
    /// longest deadline of any request class.
    Duration finish_limit = std::chrono::seconds(65);
  };

  explicit StopSequence(const Options& options) : options_(options) {}

  /// @brief Handles a termination signal.
  /// @param count number of signals received so far.
  void OnSignal(int count, MonotonicTime now);

  /// @brief Enters the next phase when it is due.
  /// @param in_flight number of requests not yet answered.
  void Advance(std::size_t in_flight, MonotonicTime now);

  [[nodiscard]] StopPhase Phase() const { return phase_; }

  /// @return when the process ends at the latest, once a stop was requested.
  [[nodiscard]] MonotonicTime LatestEnd(MonotonicTime now) const;

  /// @return number of requests aborted by the shutdown; 0 until stopped.
  [[nodiscard]] std::size_t Cut() const { return aborted_count_; }

 private:
  void Enter(StopPhase phase, MonotonicTime now);

  const Options options_;
  StopPhase phase_ = StopPhase::kServing;
  MonotonicTime entered_at_;
  bool is_immediate_ = false;
  std::size_t aborted_count_ = 0;
};

}  // namespace medlarcroft::process

#endif  // MEDLARCROFT_PROCESS_STOP_SEQUENCE_H_
