#ifndef MEDLARCROFT_REQUEST_PATH_CRASH_TRACKER_H_
#define MEDLARCROFT_REQUEST_PATH_CRASH_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/ended_targets.h"
#include "medlarcroft/request_path/request_fingerprint.h"
#include "medlarcroft/request_path/target_identity.h"

namespace medlarcroft::request_path {

/// @brief What a report states about a request.
enum class CrashReportKind : std::uint8_t {
  kCrashed,   ///< A target process exited while running the request; without
              ///< a request: it exited, whatever it ran.
  kAnswered,  ///< A target responded to the request.
  kBlocked,   ///< The request has reached the crash limit.
};

/// @brief A report about a request, exchanged between hosts.
struct CrashReport {
  CrashReportKind kind = CrashReportKind::kCrashed;
  RequestFingerprint request;
  TargetNumber target{};    ///< For `kCrashed`.
  Duration blocked_for{0};  ///< For `kBlocked`: remaining, in seconds.
  /// For `kCrashed`: since a host saw the target end. Grows on the way.
  Duration age{0};

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// @brief Receives the decisions of a `CrashTracker`.
class CrashObserver {
 public:
  virtual ~CrashObserver() = default;
  /// The report is to be sent to all other hosts.
  virtual void OnPublish(const CrashReport& report) = 0;
  /// @param is_own whether this host observed one of the crashes itself.
  virtual void OnBlocked(RequestFingerprint request,
                         Duration blocked_for,
                         bool is_own) = 0;
  virtual void OnUnblocked(RequestFingerprint request) = 0;
  /// The request is held until it is known what else ended: `Advance` is due
  /// after `delay`.
  virtual void OnHeld(RequestFingerprint request, Duration delay) = 0;
};

/// @brief Tracks requests that crash targets, as observed by all hosts, and
/// blocks those that reach the crash limit.
///
/// A request may crash every target that runs it, and its caller may retry it
/// at any host under a new id. A single host observes too few of the crashes to
/// attribute them to the request, and would keep retrying it until the service
/// has no targets left. Hosts therefore exchange crash reports, and all of them
/// block a request after `crashes_to_block` distinct targets have crashed while
/// running it.
///
/// Requests that were merely running concurrently must not be blocked. They
/// succeed on the next target, which clears them on all hosts. A frequent
/// request that is affected by unrelated crashes is protected by its recent
/// responses on other hosts, which reply to crash reports with `kAnswered`.
///
/// When many targets end at once, again and again, some request that crashes
/// nothing runs on one of them each time and is never answered in between. So a
/// crash counts in full only if the request accounts for at least half of the
/// ends of its moment, leaving aside those that other requests account for, and
/// not at all if another request explains it better; see `WeightOf`. Until all
/// hosts' reports of the moment have arrived, the request is held, which
/// protects the targets as the block does.
class CrashTracker {
 public:
  struct Options {
    /// Number of distinct crashed targets at which a request is blocked.
    std::uint32_t crashes_to_block = 3;
    /// The weights of these crashes together must exceed this. A crash that
    /// the request accounts for weighs 1.
    double min_evidence = 2;
    /// Targets that ended within this time of each other may have ended for
    /// one reason. Hosts see the same end at times that differ by the way from
    /// another region, and learn of it later by as much again.
    Duration moment = std::chrono::milliseconds(200);
    /// A request that crashes several targets within this time explains them.
    Duration explanation_time = std::chrono::milliseconds(600);
    /// By this time after an end, all hosts have heard of it: it is reported
    /// half a second after the end and a round trip, and passes two relays.
    Duration decision_delay = std::chrono::milliseconds(1200);
    /// Crashes expire this long after the latest one of the request.
    Duration crash_lifetime = std::chrono::minutes(10);
    Duration block_duration = std::chrono::minutes(10);
    /// Crash reports for a request that got a response within this time are
    /// ignored. Must be well below the time limit for all hosts to block a
    /// request.
    Duration answer_lifetime = std::chrono::seconds(2);
    /// A crash is repeated for this long, for hosts that missed the report.
    Duration repeat_duration = std::chrono::seconds(5);
    /// Tracked requests; beyond this the one with the oldest crash is evicted.
    /// Blocked requests are evicted only when all tracked requests are blocked.
    std::size_t max_requests = 1000;
  };

  explicit CrashTracker(const Options& options) : options_(options) {}

  /// @param observer may be null; must outlive the tracker otherwise.
  void Observe(CrashObserver* observer) { observer_ = observer; }

  /// @return the remaining time of the block, or of the hold; nullopt when the
  /// request may be sent.
  [[nodiscard]] std::optional<Duration> BlockedFor(RequestFingerprint request,
                                                   MonotonicTime now) const;

  /// @brief Records that a target crashed while running a request of this host.
  /// @param age since the target ended.
  void OnCrash(RequestFingerprint request,
               TargetNumber target,
               MonotonicTime now,
               Duration age = Duration(0));
  /// @brief Records that a target ended, whatever it ran.
  void OnTargetEnded(TargetNumber target, MonotonicTime now, Duration age);
  /// @brief Records that a target responded to a request of this host.
  void OnAnswered(RequestFingerprint request, MonotonicTime now);
  /// @brief Applies a report of another host.
  void OnReport(const CrashReport& report, MonotonicTime now);
  /// @brief Lifts the block and discards the crashes of the request.
  void Unblock(RequestFingerprint request);
  /// @brief Decides about requests that are held, and drops expired entries.
  void Advance(MonotonicTime now);

  /// @return at most `max_reports` reports based on this host's own
  /// observations, to be repeated for hosts that were disconnected, paused or
  /// restarted. If there are more, successive calls cycle through them.
  [[nodiscard]] std::vector<CrashReport> ReportsToRepeat(
      std::size_t max_reports,
      MonotonicTime now);
  /// @return how many distinct targets crashed while running the request.
  [[nodiscard]] std::size_t CrashesOf(RequestFingerprint request) const;
  [[nodiscard]] std::size_t BlockedRequests() const;

 private:
  struct OwnCrash {
    TargetNumber target{};
    MonotonicTime at;  ///< When the target ended.
  };
  struct Crash {
    TargetNumber target{};
    MonotonicTime at;  ///< When the target ended.
    /// Once the other ends of the moment are no longer known.
    std::optional<double> final_weight;
  };
  struct Entry {
    std::vector<Crash> crashes;  ///< Of distinct targets.
    std::vector<OwnCrash> own_crashes;
    MonotonicTime crashed_at;  ///< Latest crash.
    std::optional<MonotonicTime> blocked_until;
    std::optional<MonotonicTime> held_until;
    MonotonicTime block_published_at{};
  };
  using Explanations = std::vector<const Entry*>;
  struct Answer {
    RequestFingerprint request;
    MonotonicTime at;
    MonotonicTime published_at{};
  };

  Entry& EntryOf(RequestFingerprint request);
  void Count(RequestFingerprint request,
             Entry& entry,
             const Crash& crash,
             MonotonicTime now);
  /// @brief Blocks or holds the request, if its crashes suffice for that.
  void Decide(RequestFingerprint request, Entry& entry, MonotonicTime now);
  void Block(RequestFingerprint request,
             Entry& entry,
             Duration blocked_for,
             MonotonicTime now);
  [[nodiscard]] static bool HasCrashed(const Entry& entry, TargetNumber target);
  /// @return how many targets crashed under the request within `distance` of
  /// `time`.
  [[nodiscard]] static std::size_t CrashesAround(const Entry& entry,
                                                 MonotonicTime time,
                                                 Duration distance);
  /// @return the requests that may account for the ends of a moment.
  [[nodiscard]] Explanations FindExplanations() const;
  /// @return from 0, not explained by the request, to 1.
  [[nodiscard]] double WeightOf(const Entry& entry,
                                const Crash& crash,
                                const Explanations& explanations) const;
  /// @return the weights of the crashes until `latest`.
  [[nodiscard]] double EvidenceAgainst(const Entry& entry,
                                       MonotonicTime latest) const;
  /// @return whether the request is blocked as soon as `Decide` runs.
  [[nodiscard]] bool IsBlockDue(const Entry& entry, MonotonicTime now) const;
  /// @return until when the request is held; nullopt: it isn't.
  [[nodiscard]] std::optional<MonotonicTime> HeldUntil(const Entry& entry,
                                                       MonotonicTime now) const;
  /// @brief Keeps the weights of crashes whose moments are soon forgotten.
  void KeepFinalWeights(MonotonicTime now);
  /// @return whether this host recently received a response to the request. If
  /// so, reports that to the other hosts.
  bool ReportRecentAnswer(RequestFingerprint request, MonotonicTime now);
  void Clear(RequestFingerprint request);
  void EvictOldest();
  void Publish(const CrashReport& report);

  Options options_;
  CrashObserver* observer_ = nullptr;
  std::unordered_map<RequestFingerprint, Entry> entries_;
  std::deque<Answer> answers_;  ///< Latest last.
  EndedTargets ended_targets_;
  /// Index of the first report that `ReportsToRepeat` returns next.
  std::size_t next_repeat_index_ = 0;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_CRASH_TRACKER_H_
