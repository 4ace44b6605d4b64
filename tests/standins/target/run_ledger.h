#ifndef MEDLARCROFT_TESTS_STANDINS_TARGET_RUN_LEDGER_H_
#define MEDLARCROFT_TESTS_STANDINS_TARGET_RUN_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace medlarcroft::standins {

/// @brief Identifies a run by idempotency key and path; the key is empty for
/// requests without one.
struct RunKey {
  std::string idempotency_key;
  std::string path;

  friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

/// @brief How often the requests of one key ran.
struct RunCounts {
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
};

/// @brief Records every run of the target, as the reference that outcomes
/// reported to callers are compared with. Drops the oldest runs beyond
/// `kMaxRuns`.
class RunLedger {
 public:
  static constexpr std::size_t kMaxRuns = 500'000;

  void RecordStart(const RunKey& key, std::uint64_t times);
  void RecordCompletion(const RunKey& key);
  void RecordCancellation(const RunKey& key);

  [[nodiscard]] const std::map<RunKey, RunCounts>& Runs() const {
    return runs_;
  }
  [[nodiscard]] std::uint64_t Dropped() const { return dropped_; }

 private:
  std::map<RunKey, RunCounts> runs_;
  std::deque<RunKey> order_;
  std::uint64_t dropped_ = 0;
};

}  // namespace medlarcroft::standins

#endif  // MEDLARCROFT_TESTS_STANDINS_TARGET_RUN_LEDGER_H_
