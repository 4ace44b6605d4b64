#ifndef MEDLARCROFT_CATALOGUE_CATALOGUE_POLLER_H_
#define MEDLARCROFT_CATALOGUE_CATALOGUE_POLLER_H_

#include <cstdint>
#include <optional>

#include "medlarcroft/catalogue/catalogue_reader.h"
#include "medlarcroft/catalogue/catalogue_replica.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::catalogue {

/// @brief Why a host reads the catalogue from the platform just now.
enum class WatchReason {
  kNone,         ///< Peers bring what is new.
  kRelay,        ///< It watches the head for its domain.
  kPeersSilent,  ///< No peer has been heard for a while.
  kBehind,       ///< Peers told of a revision and did not deliver it.
};

/// @brief Brings the platform's newest revision to this host's replica.
///
/// A few hosts of each failure domain watch the head; the others learn from
/// peers and read the platform only when peers fail them. `Step` blocks on the
/// platform, so it has a thread of its own and a slow platform delays nothing
/// but itself.
class CataloguePoller {
 public:
  struct Options {
    /// Two relays in each of 17 domains at 1 s are 34 reads a second. A change
    /// must be in force everywhere within 18 s.
    Duration poll_period = std::chrono::seconds(1);
    /// How often a host that isn't needed looks whether it is.
    Duration idle_period = std::chrono::milliseconds(500);
    /// Peers exchange every second or so; five missed exchanges are silence.
    Duration peer_patience = std::chrono::seconds(5);
    Duration first_backoff = std::chrono::seconds(1);
    /// Bounds the time from the platform's return to a change in force: with
    /// the spread between peers it stays within 18 s.
    Duration max_backoff = std::chrono::seconds(8);
  };

  struct Ports {
    CatalogueReader& reader;
    CatalogueReplica& replica;
    const ports::Clock& clock;
    ports::RandomSource& random;
  };

  CataloguePoller(Options options, Ports ports);

  /// @brief Reads the platform if this host is needed to.
  /// @param is_relay whether this host watches the head for its domain.
  /// @return how long to wait before the next step.
  Duration Step(bool is_relay);

  [[nodiscard]] WatchReason Reason() const { return reason_; }
  [[nodiscard]] std::uint64_t FailedSteps() const { return failed_steps_; }

 private:
  [[nodiscard]] WatchReason FindReason(bool is_relay) const;
  [[nodiscard]] bool ReadPlatform();
  [[nodiscard]] bool ReadMissing(std::uint64_t head);
  [[nodiscard]] Duration Jittered(Duration duration);

  const Options options_;
  const Ports ports_;
  const MonotonicTime started_at_;
  /// Drawn once a host, so that hosts which lost their peers together don't
  /// turn to the platform together.
  const Duration patience_;

  WatchReason reason_ = WatchReason::kNone;
  std::uint64_t failures_in_row_ = 0;
  std::uint64_t failed_steps_ = 0;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_POLLER_H_
