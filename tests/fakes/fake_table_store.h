#ifndef MEDLARCROFT_TESTS_FAKES_FAKE_TABLE_STORE_H_
#define MEDLARCROFT_TESTS_FAKES_FAKE_TABLE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fakes/manual_clock.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::fakes {

/// @brief The fault of a commit.
enum class CommitFault {
  kNone,
  kResponseLost,  ///< Takes effect; returns `kOutcomeUnknown`.
  kRequestLost,   ///< Takes no effect; returns `kOutcomeUnknown`.
  kDelayed,       ///< Returns `kOutcomeUnknown`; takes effect at
                  ///< `DeliverDelayedCommits`.
};

/// @brief An in-memory transactional table with the failures of the platform.
class FakeTableStore final : public ports::TableStore {
 public:
  using ReadResult = Result<ports::Row, ports::StoreFailure>;
  using ScanResult = Result<std::vector<ports::Row>, ports::StoreFailure>;
  using CommitResult = Result<ports::TransactionOutcome, ports::StoreFailure>;

  /// @brief While down, every call fails without effect.
  void SetDown(bool is_down) { is_down_ = is_down; }

  /// @brief While reads fail with `kOutcomeUnknown`, commits still work.
  void SetReadsFailing(bool are_failing) { are_reads_failing_ = are_failing; }

  /// @brief Every call advances `clock` by `latency` before it returns.
  void SetLatency(ManualClock* clock, Duration latency) {
    slow_clock_ = clock;
    latency_ = latency;
  }

  /// @brief Reads and scans return the current content until `UnfreezeReads`.
  void FreezeReads() { frozen_ = rows_; }
  void UnfreezeReads() { frozen_.reset(); }

  /// @brief Sets the fault of the next commits, in order.
  void FailNextCommits(std::vector<CommitFault> faults) {
    faults_ = std::move(faults);
  }

  /// @brief Applies the commits with fault `kDelayed` to the table now.
  void DeliverDelayedCommits() {
    for (const ports::Transaction& transaction :
         std::exchange(delayed_, std::vector<ports::Transaction>())) {
      Apply(transaction);
    }
  }

  /// @brief Sets a hook that runs once, before the next commit takes effect, so
  /// that a test can let a concurrent writer act first.
  void SetBeforeCommit(std::function<void()> hook) {
    before_commit_ = std::move(hook);
  }

  [[nodiscard]] std::size_t Reads() const { return reads_; }
  [[nodiscard]] std::size_t Commits() const { return commits_; }
  [[nodiscard]] const std::map<std::string, ports::Row, std::less<>>& Rows()
      const {
    return rows_;
  }

  [[nodiscard]] ReadResult Read(std::string_view key) override {
    ++reads_;
    Delay();
    if (const auto failure = ReadFailure()) {
      return *failure;
    }
    const auto& rows = frozen_ ? *frozen_ : rows_;
    const auto found = rows.find(key);
    return found == rows.end() ? ports::Row{.key = std::string(key)}
                               : found->second;
  }

  [[nodiscard]] ScanResult Scan(std::string_view first,
                                std::string_view last,
                                std::size_t limit) override {
    ++reads_;
    Delay();
    if (const auto failure = ReadFailure()) {
      return *failure;
    }
    const auto& rows = frozen_ ? *frozen_ : rows_;
    std::vector<ports::Row> found;
    for (auto row = rows.lower_bound(first);
         row != rows.end() && row->first < last && found.size() < limit;
         ++row) {
      found.push_back(row->second);
    }
    return found;
  }

  [[nodiscard]] CommitResult Commit(
      const ports::Transaction& transaction) override {
    ++commits_;
    Delay();
    if (is_down_) {
      return ports::StoreFailure::kUnavailable;
    }
    if (const auto hook = std::exchange(before_commit_, nullptr)) {
      hook();
    }
    const CommitFault fault = NextFault();
    if (fault == CommitFault::kDelayed) {
      delayed_.push_back(transaction);
    }
    if (fault == CommitFault::kDelayed || fault == CommitFault::kRequestLost) {
      return ports::StoreFailure::kOutcomeUnknown;
    }
    ports::TransactionOutcome outcome = Apply(transaction);
    if (fault == CommitFault::kResponseLost) {
      return ports::StoreFailure::kOutcomeUnknown;
    }
    return outcome;
  }

 private:
  void Delay() {
    if (slow_clock_ != nullptr) {
      slow_clock_->Advance(latency_);
    }
  }

  [[nodiscard]] std::optional<ports::StoreFailure> ReadFailure() const {
    if (is_down_) {
      return ports::StoreFailure::kUnavailable;
    }
    return are_reads_failing_
               ? std::optional(ports::StoreFailure::kOutcomeUnknown)
               : std::nullopt;
  }

  CommitFault NextFault() {
    if (faults_.empty()) {
      return CommitFault::kNone;
    }
    const CommitFault fault = faults_.front();
    faults_.erase(faults_.begin());
    return fault;
  }

  ports::TransactionOutcome Apply(const ports::Transaction& transaction) {
    ports::TransactionOutcome outcome;
    for (const ports::RowCondition& condition : transaction.conditions) {
      const auto found = rows_.find(condition.key);
      const ports::Row row = found == rows_.end()
                                 ? ports::Row{.key = condition.key}
                                 : found->second;
      if (row.version != condition.version) {
        outcome.conflicting.push_back(row);
      }
    }
    if (!outcome.conflicting.empty()) {
      return outcome;
    }
    for (const ports::RowWrite& write : transaction.writes) {
      Write(write);
    }
    outcome.committed = true;
    return outcome;
  }

  void Write(const ports::RowWrite& write) {
    if (!write.value) {
      rows_.erase(write.key);
      return;
    }
    ports::Row& row = rows_[write.key];
    row.key = write.key;
    row.value = *write.value;
    ++row.version;
  }

  std::map<std::string, ports::Row, std::less<>> rows_;
  std::optional<std::map<std::string, ports::Row, std::less<>>> frozen_;
  std::vector<CommitFault> faults_;
  std::vector<ports::Transaction> delayed_;
  std::function<void()> before_commit_;
  ManualClock* slow_clock_ = nullptr;
  Duration latency_{};
  std::size_t reads_ = 0;
  std::size_t commits_ = 0;
  bool is_down_ = false;
  bool are_reads_failing_ = false;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_FAKE_TABLE_STORE_H_
