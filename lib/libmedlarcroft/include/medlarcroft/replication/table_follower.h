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
#include "medlarcroft/replication/row_expiry.h"
#include "medlarcroft/replication/row_source.h"
#include "medlarcroft/replication/store_availability.h"
#include "medlarcroft/replication/store_clock.h"
#include "medlarcroft/replication/table_mirror.h"
#include "medlarcroft/replication/table_server.h"

namespace medlarcroft::replication {

/// @brief A call to the store that failed.
struct FailedCall {
  RowFailure failure = RowFailure::kUnreachable;
  /// From sending the call to its end. Distinguishes a call that was refused
  /// from one that was held and never answered.
  Duration call_time{0};
  std::uint64_t known_version = 0;
  /// Whether it is the first one since the store last answered.
  bool is_first = false;
};

/// @brief Is notified of a table's rows and of failures to read them.
class TableListener {
 public:
  virtual ~TableListener() = default;

  /// Called with all rows of the table.
  virtual void OnTable(std::span<const Row> rows) = 0;
  /// Called with the rows that changed, in order; removed rows are marked.
  virtual void OnRows(std::span<const Row> rows) = 0;
  virtual void OnCallFailed(const FailedCall& call) = 0;
  /// The store answers again, `outage_time` after the first failed call to it.
  virtual void OnStoreRecovered(Duration outage_time) = 0;
  /// Until then, a missing row may have expired during an outage of the store
  /// and be written again; nullopt: the store has not been away for long
  /// enough. Called before rows that the outage may have affected.
  virtual void OnExpiryKnown(std::optional<MonotonicTime> /*until*/) {}
  /// The host that read for this one failed. This host reads the store itself
  /// for a while.
  virtual void OnReaderLost(RowFailure failure,
                            std::uint64_t known_version) = 0;
};

/// @brief Keeps a copy of one table up to date. Reads the whole table, then
/// waits for changes, and reads it again when the store no longer keeps the
/// changes in between.
class TableFollower {
 public:
  struct Options {
    std::string table;
    FollowTiming timing;
    /// For tables whose rows expire.
    std::optional<RowExpiry> expiry;
    /// Requests rows from another host while the store does not answer this
    /// one. Empty when rows are not to be requested from hosts.
    std::function<void(const RowsRequest& request, RowsCallback callback)>
        ask_peer;
    /// Requests rows from the host that reads for the region.
    /// @return false when this host must read the store itself.
    std::function<bool(const RowsRequest& request, RowsCallback callback)>
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
  /// @brief Applies `timing` from the next call on.
  void SetTiming(const FollowTiming& timing) { options_.timing = timing; }

  [[nodiscard]] const std::string& Table() const { return options_.table; }
  [[nodiscard]] bool HasTable() const { return has_table_; }
  /// @return the time since the last answer of the store, to this host or to
  /// the one that sent it rows; nullopt when there was none.
  [[nodiscard]] std::optional<Duration> Age() const;
  /// @return when the store gave that answer.
  [[nodiscard]] std::optional<MonotonicTime> ConfirmedAt() const {
    return answered_at_;
  }
  [[nodiscard]] bool IsDisconnected() const {
    return disconnected_since_.has_value();
  }
  /// @return the time since the first call to the store that failed; nullopt
  /// when it answers.
  [[nodiscard]] std::optional<Duration> DisconnectedFor() const {
    return disconnected_since_
               ? std::optional(parts_.timers.Now() - *disconnected_since_)
               : std::nullopt;
  }
  /// @return from when on this host may have missed changes, if no answer comes
  /// before.
  [[nodiscard]] MonotonicTime OverdueAt() const;
  [[nodiscard]] bool IsOverdue() const {
    return parts_.timers.Now() >= OverdueAt();
  }
  /// @brief Called when another host requests rows from this one as the reader
  /// of its region. From then on this host reads the store itself.
  /// @return the rows, if the store itself has answered this host within
  /// `FreshnessLimit`.
  [[nodiscard]] FreshTable ServeFollowers();
  /// @return the rows as last received.
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
  /// @return whether the rows are at least as new as the known ones.
  bool ApplyPeerRows(const RowBatch& rows);
  void ApplyPeerAvailability(const RowBatch& rows);
  /// @return when the store gave its last answer behind another host's rows.
  [[nodiscard]] std::optional<MonotonicTime> StoreAnswerTime(
      const RowBatch& rows,
      std::optional<MonotonicTime> answered_before) const;
  void OnChanges(const Result<RowBatch, RowFailure>& result);
  void OnFailure(RowFailure failure);
  [[nodiscard]] Duration PauseAfterFailure(std::uint32_t failures_before) const;
  void OnAnswer(std::optional<Duration> store_time);
  void OnAvailabilityChange();
  [[nodiscard]] std::optional<AvailableTime> AvailabilityForPeers() const;
  /// @return until when a missing row may only have expired; nullopt: it was
  /// removed.
  [[nodiscard]] std::optional<MonotonicTime> ExpiryEnd() const;
  void RequestPeerRows();
  void OnPeerRows(const Result<RowBatch, RowFailure>& result);
  void After(Duration delay, void (TableFollower::*next)());

  Parts parts_;
  Options options_;
  bool has_table_ = false;
  std::vector<Row> pages_;
  std::uint64_t pages_version_ = 0;
  std::optional<Duration> pages_store_time_;
  /// Version of the known rows. Older answers are ignored.
  std::uint64_t version_ = 0;
  TableMirror mirror_;
  /// When the store gave the last answer, to this host or to the one that sent
  /// the rows.
  std::optional<MonotonicTime> answered_at_;
  /// Whether the reader sent the rows, not a host asked while the store is
  /// lost.
  bool is_answer_of_host_ = false;
  std::optional<MonotonicTime> disconnected_since_;
  /// When the store was last called.
  MonotonicTime called_at_{};
  StoreClock store_clock_;
  StoreAvailability availability_;
  /// This host was certainly not in touch with the store before then, by its
  /// own last outage.
  MonotonicTime out_of_touch_at_{};
  std::optional<MonotonicTime> expiry_end_;  ///< As last reported.
  /// When the store gave its own last answer, as estimated by `store_clock_`.
  std::optional<MonotonicTime> store_answered_at_;
  /// The pending call to a reader. The answers of all other such calls are
  /// ignored.
  std::optional<std::uint64_t> reader_call_;
  std::uint64_t reader_calls_ = 0;
  /// Whether rows are being requested from other hosts, one request at a time.
  bool is_requesting_from_peers_ = false;
  /// Whether changes are being requested from the store before other hosts are
  /// answered.
  bool is_catching_up_ = false;
  /// When another host last requested rows from this one.
  std::optional<MonotonicTime> served_others_at_;
  /// Until then this host reads the store itself, since its reader failed or
  /// other hosts read from this one.
  MonotonicTime direct_read_until_{};
  std::uint32_t failures_ = 0;
  // Null after destruction, since calls may still be pending then.
  std::shared_ptr<TableFollower*> self_ =
      std::make_shared<TableFollower*>(this);
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_TABLE_FOLLOWER_H_
