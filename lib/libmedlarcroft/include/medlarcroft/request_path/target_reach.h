#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_REACH_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_REACH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/request_path/target_identity.h"

namespace medlarcroft::request_path {

/// @brief A target to which a connection may be tried.
struct ReachCandidate {
  TargetNumber target{};
  std::string address;
  FailureDomainName domain;
};

/// @brief Decides whether this host is cut off from all targets, so that other
/// hosts must send for it.
///
/// A host that loses its links to the targets marks one after the other as
/// failed, and then refuses all callers, although the targets serve other
/// hosts. Failures of single targets are common and must not cause that belief,
/// so connections to targets of several failure domains are tried first. The
/// belief ends when several targets accept connections again. Where no other
/// host can help, all hosts may hold it since the targets are down; then one
/// target that accepts ends it. That helpers miss targets does not: they may
/// be cut off too, and this host, which would send in vain by itself, would
/// refuse its callers until it notices the cut again.
class TargetReach {
 public:
  struct Options {
    /// Different targets that refuse connections before others are tried.
    std::size_t suspicious_failures = 2;
    /// Without any answer for this long, connections are tried while requests
    /// are outstanding.
    Duration suspicious_silence = std::chrono::milliseconds(300);
    /// Targets tried at once. With all of one failure domain down, and one
    /// target in seven besides, the others still show that the host is not cut
    /// off.
    std::size_t probes_per_round = 4;
    /// Different targets that must accept connections before the belief ends.
    std::size_t targets_for_return = 3;
  };

  TargetReach(const Options& options, ports::RandomSource& random)
      : options_(options),
        random_(random),
        targets_for_return_(options.targets_for_return) {}

  [[nodiscard]] bool IsCutOff() const { return is_cut_off_; }
  [[nodiscard]] bool WasCutOffSince(MonotonicTime time) const {
    return is_cut_off_ || (returned_at_ && *returned_at_ >= time);
  }

  void OnConnected(MonotonicTime now);
  void OnConnectFailed(TargetNumber target, MonotonicTime now);
  /// @brief A target answered on this host's own connection.
  void OnAnswered(MonotonicTime now) { last_answer_at_ = now; }
  /// @brief Another host sent for this one.
  void OnRelayed() { no_helper_at_.reset(); }
  /// @brief No other host could be found that reaches targets.
  void OnNoHelper(MonotonicTime now) { no_helper_at_ = now; }

  /// @param outstanding_since when the oldest of this host's own sends that
  /// wait for an answer was sent; nullopt: none waits.
  [[nodiscard]] bool ShouldProbe(std::optional<MonotonicTime> outstanding_since,
                                 MonotonicTime now) const;
  /// @brief Starts a round of probes.
  /// @return the targets to connect to, each of which `OnProbed` must follow.
  [[nodiscard]] std::vector<ReachCandidate> StartProbes(
      std::span<const ReachCandidate> candidates,
      const FailureDomainName& own_domain,
      MonotonicTime now);
  void OnProbed(TargetNumber target, bool is_reached, MonotonicTime now);

 private:
  /// @return up to `count` random candidates, from different failure domains
  /// as far as possible.
  [[nodiscard]] std::vector<ReachCandidate> Choose(
      std::span<const ReachCandidate> candidates,
      const FailureDomainName& first_domain,
      std::size_t count);
  [[nodiscard]] std::size_t TargetsForReturn(MonotonicTime now) const;
  [[nodiscard]] std::size_t CutOffProbes() const;
  void CutOff(MonotonicTime now);
  void Return(MonotonicTime now);

  Options options_;
  ports::RandomSource& random_;
  bool is_cut_off_ = false;
  std::map<TargetNumber, MonotonicTime> failed_;
  MonotonicTime last_answer_at_{};
  MonotonicTime next_round_at_{};
  /// Silence is no reason for a round before then.
  MonotonicTime silence_ignored_until_{};
  std::size_t pending_probes_ = 0;
  std::size_t round_size_ = 0;
  std::size_t known_targets_ = 0;
  std::map<TargetNumber, MonotonicTime> reached_;  ///< While cut off.
  std::optional<MonotonicTime> no_helper_at_;
  std::size_t targets_for_return_;
  std::optional<MonotonicTime> returned_at_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_REACH_H_
