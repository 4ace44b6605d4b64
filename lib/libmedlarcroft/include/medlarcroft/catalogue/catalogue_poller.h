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

/// @brief Why a host currently polls the catalogue from the platform.
enum class PollReason {
  kNone,         ///< Not polling; peers deliver changes.
  kRelay,        ///< Polls the head on behalf of its domain.
  kPeersSilent,  ///< No contact with any peer for some time.
  kBehind,       ///< Peers announced a revision but did not deliver it.
};

/// @brief Updates this host's replica to the latest revision on the platform.
///
/// A few hosts of each failure domain, its relays, poll the head. The other
/// hosts receive changes from peers and read the platform only when their peers
/// fail to deliver. `Step` blocks on the platform, so it needs its own thread;
/// a slow platform then delays nothing else.
class CataloguePoller {
 public:
  struct Options {
    /// Two relays in each of 17 domains make 34 reads per second at a
    /// period of 1 s. A change must be in force everywhere within 18 s.
    Duration poll_period = std::chrono::seconds(1);
    /// How often a host that does not poll checks whether it needs to.
    Duration idle_period = std::chrono::milliseconds(500);
    /// Time without contact after which peers count as silent. Peers exchange
    /// about once per second, so this is five missed exchanges.
    Duration peer_timeout = std::chrono::seconds(5);
    Duration first_backoff = std::chrono::seconds(1);
    /// Bounds the time from the platform's recovery until a change is in force:
    /// together with the propagation between peers it stays within 18 s.
    Duration max_backoff = std::chrono::seconds(8);
  };

  struct Ports {
    CatalogueReader& reader;
    CatalogueReplica& replica;
    const ports::Clock& clock;
    ports::RandomSource& random;
  };

  CataloguePoller(Options options, Ports ports);

  /// @brief Reads from the platform if this host needs to.
  /// @param is_relay whether this host polls the head on behalf of its domain.
  /// @return how long to wait before the next step.
  Duration Step(bool is_relay);

  [[nodiscard]] PollReason Reason() const { return reason_; }
  [[nodiscard]] std::uint64_t FailedSteps() const { return failed_steps_; }

 private:
  [[nodiscard]] PollReason FindPollReason(bool is_relay) const;
  [[nodiscard]] bool ReadPlatform();
  [[nodiscard]] bool ReadMissingRevisions(std::uint64_t head);
  [[nodiscard]] Duration AddJitter(Duration duration);

  const Options options_;
  const Ports ports_;
  const MonotonicTime started_at_;
  /// `Options::peer_timeout` times a random factor from 1 to 2 that is drawn
  /// once per host, so that hosts that lose their peers at the same time do not
  /// all start polling the platform at the same time.
  const Duration peer_timeout_;

  PollReason reason_ = PollReason::kNone;
  std::uint64_t consecutive_failures_ = 0;
  std::uint64_t failed_steps_ = 0;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_POLLER_H_
