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

/// @brief A target's own count of its work, as an answer told it.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// @brief How one attempt ended, as the transport saw it.
enum class AttemptEnd {
  kAnswered,      ///< A whole answer, not a failure of the target.
  kTargetFailed,  ///< A whole answer that reports a failure; counts as run.
  kNotRun,        ///< The target says that it did not run it.
  kWrongTarget,   ///< Another target has the address; it did not run it.
  kNeverSent,     ///< No connection came about.
  kLost,          ///< The connection or its answer broke; it may have run.
  kTimedOut,      ///< No answer in time; it may have run.
};

/// @brief What this host knows of one target.
///
/// The load on a target is the sum over all hosts, of which this one sees its
/// own part at once and the rest only through the reports in answers.
class TargetState {
 public:
  TargetState(TargetRecord record, RegionName region);

  [[nodiscard]] const TargetRecord& Record() const { return record_; }
  [[nodiscard]] const RegionName& Region() const { return region_; }
  [[nodiscard]] TargetNumber Number() const { return number_; }
  void Update(TargetRecord record) { record_ = std::move(record); }
  /// @return its place in the order of an object's targets: the greatest comes
  /// first, on every host.
  [[nodiscard]] std::uint64_t OrderOf(ObjectKey object) const;

  void OnSent(ObjectKey object, MonotonicTime now);
  /// Another host sent it that object.
  void OnSentByOtherHost(ObjectKey object);
  /// @param relative_time the time at the target divided by what was expected;
  /// absent when it says nothing of the target's speed.
  void OnEnded(AttemptEnd end,
               std::optional<double> relative_time,
               MonotonicTime now);
  /// The owner gave the attempt up: it says nothing of the target.
  void OnAbandoned();
  void OnReport(const LoadReport& report, MonotonicTime now);

  /// @param usual what targets beside it have of other hosts lately, if known.
  /// @param usual_part how much that counts, over what this one itself had in
  /// the mean, as its last report grows old.
  /// @return requests running and waiting there, from all hosts, as estimated.
  [[nodiscard]] double EstimatedLoad(std::optional<double> usual,
                                     double usual_part,
                                     MonotonicTime now) const;
  /// @return what other hosts had there at the last report.
  [[nodiscard]] double OthersLoad() const { return others_load_; }
  [[nodiscard]] std::uint32_t OwnOutstanding() const { return outstanding_; }
  [[nodiscard]] std::optional<Duration> ReportAge(MonotonicTime now) const;

  /// @return whether other hosts should hear that it gets that object: it did
  /// not have it, or they were not told for a while. It counts as told then.
  [[nodiscard]] bool IsNews(ObjectKey object, MonotonicTime now);
  [[nodiscard]] bool HasBeenUsed() const { return has_been_used_; }
  /// @return whether this host, or one that told of it, sent it that object
  /// lately.
  [[nodiscard]] bool HasHandled(ObjectKey object) const;

  /// @return its time for a request over what is usual in its service.
  [[nodiscard]] double RelativeTime() const { return relative_time_; }

  /// @return whether it gets nothing now after failures in a row. Afterwards
  /// one request at a time tries it.
  [[nodiscard]] bool IsResting(MonotonicTime now) const;

  void MarkCold(MonotonicTime until) {
    cold_until_ = std::max(cold_until_, until);
  }
  [[nodiscard]] bool IsCold(MonotonicTime now) const {
    return now < cold_until_;
  }
  /// @return requests that this host sent it in the last second and a bit.
  [[nodiscard]] std::uint32_t RecentSends(MonotonicTime now) const;

  /// From now on it gets nothing: it is not the target that was meant.
  void MarkReplaced() { is_replaced_ = true; }
  [[nodiscard]] bool IsReplaced() const { return is_replaced_; }

 private:
  void Rest(MonotonicTime now);
  void NoteObject(ObjectKey object);

  TargetRecord record_;
  std::uint64_t name_hash_ = 0;
  TargetNumber number_{};
  RegionName region_;
  std::uint32_t outstanding_ = 0;
  double others_load_ = 0;  ///< At the last report.
  double others_mean_ = 0;  ///< Over the reports.
  std::optional<MonotonicTime> reported_at_;
  struct HandledObject {
    ObjectKey key;
    MonotonicTime told_at{};  ///< To other hosts.
  };
  std::vector<HandledObject> objects_;  ///< Latest first.
  double relative_time_ = 1.0;
  std::uint32_t failures_in_a_row_ = 0;
  std::uint32_t bad_answers_in_a_row_ = 0;
  Duration rest_{0};
  MonotonicTime resting_until_{};
  MonotonicTime cold_until_{};
  std::deque<MonotonicTime> sends_;
  bool has_been_used_ = false;
  bool is_replaced_ = false;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_STATE_H_
