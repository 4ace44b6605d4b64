#ifndef MEDLARCROFT_REQUEST_PATH_RATE_LIMITS_H_
#define MEDLARCROFT_REQUEST_PATH_RATE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/request_path/target_identity.h"

namespace medlarcroft::request_path {

/// @brief A report about a target's rate limit, exchanged between hosts.
struct LimitReport {
  TargetNumber target{};
  /// Requests per second that the target accepts from all hosts together; 0:
  /// the limit has ended.
  double requests_per_second = 0;

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

/// @brief The hosts among which limits are divided, as known to this host.
struct LimitHosts {
  std::uint64_t own_hash = 0;  ///< Hash of this host's name.
  RegionName own_region;
  /// Name hashes of the live hosts of this region, including this host.
  std::vector<std::uint64_t> live_in_region;
  /// Number of listed hosts of this region, live or not, including this host.
  std::size_t known_in_region = 1;
  /// Number of listed hosts in all regions.
  std::uint32_t known_hosts = 1;
  /// Whether this host may use its share; otherwise it sends to no target that
  /// declares a limit.
  bool has_share = true;

  friend bool operator==(const LimitHosts&, const LimitHosts&) = default;
};

/// @brief Receives the changes of a `RateLimits`.
class LimitObserver {
 public:
  virtual ~LimitObserver() = default;
  /// The report is to be sent to all other hosts.
  virtual void OnPublish(const LimitReport& report) = 0;
  /// @param own_rate requests per second that this host may send to the target.
  virtual void OnLimited(TargetNumber target,
                         double requests_per_second,
                         double own_rate) = 0;
  virtual void OnLifted(TargetNumber target) = 0;
};

/// @brief Enforces this host's shares of the rate limits that targets declare
/// in their responses for all hosts together.
///
/// Many hosts may send to an overloaded target, and each of them observes only
/// its own requests. If each host applied the whole limit, the target would
/// receive a multiple of it; if all hosts shared it, a hundred of them could
/// each save up a request and send it in the same burst. A limit is therefore
/// divided equally among a few hosts of the target's region, whose number grows
/// with the limit. Rendezvous hashing selects the same senders on all hosts
/// that know the same live hosts. A host scales the limit and the number of
/// senders by the fraction of its region's hosts that it considers live,
/// because hosts on the other side of a network partition may still reach the
/// target. Each sender's token bucket holds at most one request, which bounds
/// the burst. The remaining hosts probe the target at a small fraction of the
/// limit in total, to detect the end of a limit whose report was lost. They
/// accumulate no requests while idle: each may send only within a short,
/// periodic time slot with a random offset.
class RateLimits {
 public:
  struct Options {
    /// A limit is divided among `base_senders` hosts plus `senders_per_rps` for
    /// each request per second of the limit. This also bounds the burst that
    /// the senders can produce together.
    double base_senders = 2;
    double senders_per_rps = 1.5;
    /// Fraction of a limit that all hosts without a share may send together.
    double probe_fraction = 0.05;
    /// A limit expires when it has not been confirmed for this long, plus a
    /// random delay of up to half of it, or one second per host if that is
    /// longer, so that hosts do not resume sending all at once.
    Duration lifetime = std::chrono::seconds(60);
    /// Interval at which an unchanged limit is published again.
    Duration repeat_period = std::chrono::seconds(2);
    /// The end of a limit is repeated for this long, for hosts that missed the
    /// report.
    Duration lift_repeat_duration = std::chrono::seconds(5);
  };

  RateLimits(const Options& options, ports::RandomSource& random)
      : options_(options), random_(random) {}

  /// @param observer may be null; must outlive this object otherwise.
  void Observe(LimitObserver* observer) { observer_ = observer; }
  void SetHosts(LimitHosts hosts, MonotonicTime now);

  /// @brief Records a target's response to a request of this host.
  /// @param limit that the response declares; nullopt: none.
  /// @param sent_at when the request was sent.
  void OnAnswer(TargetNumber target,
                const RegionName& region,
                std::optional<double> limit,
                MonotonicTime sent_at,
                MonotonicTime now);
  /// @brief Applies a report of another host.
  void OnReport(const LimitReport& report,
                const RegionName& region,
                MonotonicTime now);

  /// @return whether this host may send a request to the target now.
  [[nodiscard]] bool AllowsSend(TargetNumber target, MonotonicTime now) const;
  /// @brief Records a request sent to the target.
  void OnSent(TargetNumber target, MonotonicTime now);
  /// @brief Drops expired limits and reports.
  void Advance(MonotonicTime now);

  /// @return reports of limits whose end this host observed, to be repeated.
  [[nodiscard]] std::vector<LimitReport> ReportsToRepeat(
      MonotonicTime now) const;

  [[nodiscard]] bool IsEmpty() const { return limits_.empty(); }
  [[nodiscard]] std::size_t Size() const { return limits_.size(); }
  /// @return requests per second that this host may send to the target;
  /// nullopt: unlimited.
  [[nodiscard]] std::optional<double> OwnRate(TargetNumber target) const;

 private:
  struct Limit {
    RegionName region;  ///< Of the target.
    double requests_per_second = 0;
    double own_rate = 0;
    bool is_sender = false;    ///< This host has a share of the limit.
    Duration probe_offset{0};  ///< Phase shift of this host's probe slots.
    std::optional<MonotonicTime> last_sent_at;
    /// Token bucket level at `refilled_at`, in requests; at most one.
    double tokens = 0;
    MonotonicTime refilled_at;
    MonotonicTime confirmed_at;  ///< By a response or a report.
    /// Latest response to a request of this host that declared the limit.
    std::optional<MonotonicTime> answered_at;
    Duration expires_after{0};
    MonotonicTime published_at{};
    double published_rate = 0;
  };

  Limit& Update(TargetNumber target,
                const RegionName& region,
                double requests_per_second,
                MonotonicTime now);
  void Lift(TargetNumber target);
  void Refill(Limit& limit, MonotonicTime now) const;
  [[nodiscard]] double TokensAt(const Limit& limit, MonotonicTime now) const;
  [[nodiscard]] bool IsInProbeSlot(const Limit& limit, MonotonicTime now) const;
  void UpdateShare(TargetNumber target, Limit& limit) const;

  Options options_;
  ports::RandomSource& random_;
  LimitObserver* observer_ = nullptr;
  LimitHosts hosts_;
  std::unordered_map<TargetNumber, Limit> limits_;
  /// When a response to this host showed that a target's limit had ended.
  std::unordered_map<TargetNumber, MonotonicTime> lifted_at_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_RATE_LIMITS_H_
