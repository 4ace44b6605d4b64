#ifndef MEDLARCROFT_REQUEST_PATH_CRASH_TRACKER_H_
#define MEDLARCROFT_REQUEST_PATH_CRASH_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/request_fingerprint.h"
#include "medlarcroft/request_path/target_identity.h"

namespace medlarcroft::request_path {

/// @brief What a report states about a request.
enum class CrashReportKind : std::uint8_t {
  kCrashed,   ///< A target process exited while running the request.
  kAnswered,  ///< A target responded to the request.
  kBlocked,   ///< The request has reached the crash limit.
};

/// @brief A report about a request, exchanged between hosts.
struct CrashReport {
  CrashReportKind kind = CrashReportKind::kCrashed;
  RequestFingerprint request;
  TargetNumber target{};    ///< For `kCrashed`.
  Duration blocked_for{0};  ///< For `kBlocked`: remaining, in seconds.

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
class CrashTracker {
 public:
  struct Options {
    /// Number of distinct crashed targets at which a request is blocked.
    std::uint32_t crashes_to_block = 3;
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

  /// @return the remaining time of the block; nullopt when the request may be
  /// sent.
  [[nodiscard]] std::optional<Duration> BlockedFor(RequestFingerprint request,
                                                   MonotonicTime now) const;

  /// @brief Records that a target crashed while running a request of this host.
  void OnCrash(RequestFingerprint request,
               TargetNumber target,
               MonotonicTime now);
  /// @brief Records that a target responded to a request of this host.
  void OnAnswered(RequestFingerprint request, MonotonicTime now);
  /// @brief Applies a report of another host.
  void OnReport(const CrashReport& report, MonotonicTime now);
  /// @brief Lifts the block and discards the crashes of the request.
  void Unblock(RequestFingerprint request);
  /// @brief Drops expired entries.
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
    MonotonicTime at;
  };
  struct Entry {
    std::vector<TargetNumber> crashed;
    std::vector<OwnCrash> own_crashes;
    MonotonicTime crashed_at;  ///< Latest crash.
    std::optional<MonotonicTime> blocked_until;
    MonotonicTime block_published_at{};
  };
  struct Answer {
    RequestFingerprint request;
    MonotonicTime at;
    MonotonicTime published_at{};
  };

  Entry& EntryOf(RequestFingerprint request);
  void Count(RequestFingerprint request,
             Entry& entry,
             TargetNumber target,
             MonotonicTime now);
  void Block(RequestFingerprint request,
             Entry& entry,
             Duration blocked_for,
             MonotonicTime now);
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
  /// Index of the first report that `ReportsToRepeat` returns next.
  std::size_t next_repeat_index_ = 0;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_CRASH_TRACKER_H_
