#ifndef MEDLARCROFT_REPLICATION_TABLE_FOLLOWER_H_
#define MEDLARCROFT_REPLICATION_TABLE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/ports/timers.h"
#include "medlarcroft/replication/follow_timing.h"
#include "medlarcroft/replication/row.h"
#include "medlarcroft/replication/row_source.h"
#include "medlarcroft/replication/store_clock.h"
#include "medlarcroft/replication/table_mirror.h"
#include "medlarcroft/replication/table_server.h"

namespace medlarcroft::replication {

/// @brief A call to the store that brought nothing.
struct FailedCall {
  RowFailure failure = RowFailure::kUnreachable;
  /// From its sending to its end: tells a call that was turned away from one
  /// that was held and never answered.
  Duration call_time{0};
  std::uint64_t known_version = 0;
  /// News stops coming with it.
  bool is_first = false;
};

/// @brief Hears what a table holds.
class TableListener {
 public:
  virtual ~TableListener() = default;

  /// The whole table.
  virtual void OnTable(std::span<const Row> rows) = 0;
  /// Rows that changed since, in order; removed ones are marked.
  virtual void OnRows(std::span<const Row> rows) = 0;
  virtual void OnCallFailed(const FailedCall& call) = 0;
  /// News comes again, `away` after the last that came.
  virtual void OnStoreRecovered(Duration away) = 0;
  /// The host that read for this one failed it: from now on this one reads the
  /// store itself for a while.
  virtual void OnReaderLost(RowFailure failure,
                            std::uint64_t known_version) = 0;
};

/// @brief Keeps up with one table: reads it whole, then waits for changes, and
/// reads it anew when the store has forgotten what came between.
class TableFollower {
 public:
  struct Options {
    std::string table;
    FollowTiming pace;
    /// Asks some other host while the store turns this one away; none: nobody
    /// is asked.
    std::function<void(const RowsRequest& question, RowsCallback callback)>
        ask_peer;
    /// Asks a host that reads for the region.
    /// @return false when this host is to read the store itself.
    std::function<bool(const RowsRequest& question, RowsCallback callback)>
        ask_reader;
  };

  struct Parts {
    ports::Timers& timers;
    RowSource& store;
    ports::RandomSource& random;
    TableListener& listener;
  };

  TableFollower(const Parts& parts, Options options);
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  void Start() { Read(); }
  /// @brief Follows at that pace from now on.
  void SetTiming(const FollowTiming& pace) { options_.pace = pace; }

  [[nodiscard]] const std::string& Table() const { return options_.table; }
  [[nodiscard]] bool HasTable() const { return has_table_; }
  /// @return how long ago the store, or a host that it serves, last answered;
  /// nullopt: never.
  [[nodiscard]] std::optional<Duration> Age() const;
  [[nodiscard]] bool IsDisconnected() const { return away_since_.has_value(); }
  /// @return whether an answer is due and has not come, so that there may be
  /// changes that this host has not heard of.
  [[nodiscard]] bool IsOverdue() const;
  /// @brief Another host takes this one for the reader of its region: from now
  /// on it reads the store itself.
  /// @return the rows while it has heard from the store itself within the time
  /// that a call is held, and a little.
  [[nodiscard]] FreshTable ServeFollowers();
  /// @return the rows as last heard.
  [[nodiscard]] TableMirror& Mirror() { return mirror_; }
  [[nodiscard]] const TableMirror& Mirror() const { return mirror_; }

 private:
  void Read();
  void ReadTable();
  void ReadPage(const std::string& first_key);
  void OnPage(Result<RowBatch, RowFailure> result);
  void Follow();
  void FollowStore(Duration wait);
  bool FollowReader();
  void OnReaderRows(const Result<RowBatch, RowFailure>& result);
  void OnReaderLost(RowFailure failure);
  /// @return whether the rows are not older than what is known.
  bool TakePeerRows(const RowBatch& rows);
  void OnChanges(const Result<RowBatch, RowFailure>& result);
  void OnFailure(RowFailure failure);
  [[nodiscard]] Duration PauseAfterFailure(std::uint32_t failures_before) const;
  void OnAnswer(std::optional<Duration> told_at);
  void AskPeer();
  void OnPeerRows(const Result<RowBatch, RowFailure>& result);
  void After(Duration delay, void (TableFollower::*next)());

  Parts parts_;
  Options options_;
  bool has_table_ = false;
  std::vector<Row> pages_;
  std::uint64_t pages_version_ = 0;
  std::optional<Duration> pages_told_at_;
  /// Nothing older than this counts any more.
  std::uint64_t version_ = 0;
  TableMirror mirror_;
  std::optional<MonotonicTime> answered_at_;
  std::optional<MonotonicTime> away_since_;
  /// When the store was last called.
  MonotonicTime called_at_{};
  StoreClock store_clock_;
  /// When the store gave its own last answer.
  std::optional<MonotonicTime> read_at_;
  /// The call to a reader that is under way; others that end bring nothing.
  std::optional<std::uint64_t> reader_call_;
  std::uint64_t reader_calls_ = 0;
  /// Other hosts are being asked, one question after the other.
  bool is_asking_peers_ = false;
  /// The store is being asked for what changed, so as to tell others.
  bool is_catching_up_ = false;
  /// When another host last asked this one.
  std::optional<MonotonicTime> told_others_at_;
  /// Until then this host reads for itself: a reader failed it.
  MonotonicTime direct_until_{};
  std::uint32_t failures_ = 0;
  // Calls under way may outlive the watch.
  std::shared_ptr<TableFollower*> self_ =
      std::make_shared<TableFollower*>(this);
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_TABLE_FOLLOWER_H_
