#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_STATE_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_STATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/object_key.h"
#include "medlarcroft/request_path/target_record.h"

namespace medlarcroft::request_path {

/// @brief A target's load as counted by itself and reported in a response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Processing time at this moment relative to the target's usual one, which
  /// rises while other programs use its machine; nullopt: not reported.
  std::optional<double> slowdown;
};

/// The limit on requests to a cold target holds per second at the target. The
/// window is longer, because sends may arrive closer together than they were
/// sent.
inline constexpr Duration kColdWindow = std::chrono::milliseconds(1200);

/// @brief How one attempt ended, as observed by the transport.
enum class AttemptEnd {
  kAnswered,      ///< Complete response without a failure of the target.
  kTargetFailed,  ///< Complete response that reports a failure; counts as run.
  kNotRun,        ///< The target states that it did not run the request.
  kWrongTarget,   ///< Another target has the address; it did not run the
                  ///< request.
  kNeverSent,     ///< No connection could be established.
  kLost,          ///< The connection or the response broke; it may have run.
  kTimedOut,      ///< No response in time; it may have run.
  kNoHelper,      ///< This host is cut off from the targets, and no other host
                  ///< sent for it.
  kHelperLost,    ///< The helper did not answer; it may have run.
  kWithheld,      ///< Not sent: the target must get no requests any more.
};

/// @brief This host's view of one target.
///
/// The load on a target is the sum over all hosts. This host knows its own part
/// immediately and the rest only through load reports in responses.
class TargetState {
 public:
  TargetState(TargetRecord record, RegionName region);

  [[nodiscard]] const TargetRecord& Record() const { return record_; }
  [[nodiscard]] const RegionName& Region() const { return region_; }
  [[nodiscard]] TargetNumber Number() const { return number_; }
  void Update(TargetRecord record) { record_ = std::move(record); }
  void SetRegion(RegionName region) { region_ = std::move(region); }
  /// @return the target's rank value for an object: the target with the
  /// greatest value comes first, on every host.
  [[nodiscard]] std::uint64_t OrderOf(ObjectKey object) const;

  void OnSent(ObjectKey object, MonotonicTime now);
  /// Another host sent the object to the target.
  void OnSentByOtherHost(ObjectKey object);
  /// @param relative_time the processing time at the target divided by the
  /// expected time; nullopt when it is no evidence of the target's speed.
  void OnEnded(AttemptEnd end,
               std::optional<double> relative_time,
               MonotonicTime now);
  /// This host cancelled the attempt, which is no evidence about the target.
  void OnAbandoned();
  /// This host cancelled the attempt, since one that was sent later to another
  /// target has been answered.
  void OnOvertaken(MonotonicTime now);
  /// @brief Ends the backoff: the failures were not the target's.
  void ForgetFailures();
  void OnReport(const LoadReport& report, MonotonicTime now);

  /// @param region_mean mean load from other hosts on the targets of the
  /// region, if known.
  /// @param region_weight weight of `region_mean` relative to the target's own
  /// mean, which together replace its last report as it ages.
  /// @return estimated requests that run or wait at the target, from all hosts.
  [[nodiscard]] double EstimatedLoad(std::optional<double> region_mean,
                                     double region_weight,
                                     MonotonicTime now) const;
  /// @return the load from other hosts at the time of the last report.
  [[nodiscard]] double OtherHostsLoad() const { return other_hosts_load_; }
  [[nodiscard]] std::uint32_t OwnOutstanding() const { return outstanding_; }
  [[nodiscard]] std::optional<Duration> ReportAge(MonotonicTime now) const;

  /// @return whether to announce to other hosts that the target receives the
  /// object: it did not have it, or the last announcement was some time ago.
  /// The object then counts as announced.
  [[nodiscard]] bool ShouldAnnounce(ObjectKey object, MonotonicTime now);
  [[nodiscard]] bool HasBeenUsed() const { return has_been_used_; }
  /// @return whether this host, or another host that announced it, sent the
  /// object to the target recently.
  [[nodiscard]] bool HasHandled(ObjectKey object) const;

  /// @return the processing time on the target's machine relative to its usual
  /// one, by the latest report. As the report ages, it approaches 1.
  [[nodiscard]] double SlowdownAt(MonotonicTime now) const;
  /// @return the target's processing time relative to what is usual for its
  /// service, without the reported slowdown. As the latest evidence ages, that
  /// of a slow target approaches 1.
  [[nodiscard]] double RelativeTime(MonotonicTime now) const;

  /// @return whether the target gets no requests because of consecutive
  /// failures. After the backoff it gets one request at a time until one
  /// succeeds.
  [[nodiscard]] bool IsBackedOff(MonotonicTime now) const;

  /// @brief Records that the target wants no requests from this host until
  /// then. An earlier time than the known one changes nothing.
  void RestUntil(MonotonicTime until);
  [[nodiscard]] bool IsResting(MonotonicTime now) const {
    return now < rest_until_;
  }
  /// @return the end of the latest rest; in the past if there is none.
  [[nodiscard]] MonotonicTime RestEnd() const { return rest_until_; }
  /// @return whether the target, after a rest, must first answer the request
  /// that it got last.
  [[nodiscard]] bool IsReturning(MonotonicTime now) const;

  void MarkCold(MonotonicTime until) {
    cold_until_ = std::max(cold_until_, until);
  }
  [[nodiscard]] bool IsCold(MonotonicTime now) const {
    return now < cold_until_;
  }
  /// @return requests that this host sent to the target within slightly more
  /// than the last second.
  [[nodiscard]] std::uint32_t RecentSends(MonotonicTime now) const;

  /// Stops all requests to the target: its address belongs to another target.
  void MarkReplaced() { is_replaced_ = true; }
  [[nodiscard]] bool IsReplaced() const { return is_replaced_; }

 private:
  void BackOff(MonotonicTime now);
  void LearnRelativeTime(double relative_time, MonotonicTime now);
  void RecordObject(ObjectKey object);

  TargetRecord record_;
  std::uint64_t name_hash_ = 0;
  TargetNumber number_{};
  RegionName region_;
  std::uint32_t outstanding_ = 0;
  double other_hosts_load_ = 0;       ///< At the last report.
  double other_hosts_mean_load_ = 0;  ///< Over the reports.
  std::optional<MonotonicTime> reported_at_;
  struct HandledObject {
    ObjectKey key;
    MonotonicTime announced_at{};  ///< To other hosts.
  };
  std::vector<HandledObject> objects_;  ///< Most recent first.
  double relative_time_ = 1.0;
  MonotonicTime relative_time_learned_at_{};
  bool was_last_time_long_ = false;
  double slowdown_ = 1.0;
  MonotonicTime slowdown_reported_at_{};
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t consecutive_error_responses_ = 0;
  std::uint32_t consecutive_overtaken_ = 0;
  Duration backoff_{0};
  MonotonicTime backed_off_until_{};
  MonotonicTime rest_until_{};
  bool has_answered_since_rest_ = true;
  MonotonicTime cold_until_{};
  std::deque<MonotonicTime> sends_;
  bool has_been_used_ = false;
  bool is_replaced_ = false;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_STATE_H_
