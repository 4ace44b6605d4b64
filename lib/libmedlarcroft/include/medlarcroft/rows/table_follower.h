#ifndef MEDLARCROFT_PLATFORM_STORE_WATCH_H_
#define MEDLARCROFT_PLATFORM_STORE_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "adapters/event/event_loop.h"
#include "medlarcroft/ports/random_source.h"
#include "platform/store_client.h"
#include "platform/table_mirror.h"

namespace medlarcroft::platform {

/// @brief Hears what a table holds.
class TableListener {
 public:
  virtual ~TableListener() = default;

  /// The whole table.
  virtual void OnTable(std::span<const StoreRow> rows) = 0;
  /// Rows that changed since, in order; removed ones are marked.
  virtual void OnRows(std::span<const StoreRow> rows) = 0;
  /// News stopped coming.
  virtual void OnStoreLost(StoreFailure failure) = 0;
  /// News comes again, `away` after the last that came.
  virtual void OnStoreBack(Duration away) = 0;
};

/// @brief Keeps up with one table: reads it whole, then waits for changes, and
/// reads it anew when the store has forgotten what came between.
class StoreWatch {
 public:
  struct Options {
    std::string table;
    /// How long the store holds a call open when nothing changes. A call that
    /// the store has lost sight of brings nothing for as long.
    Duration wait = std::chrono::seconds(4);
    /// Between a change and the next call: changes that come together, as when
    /// all targets start, are heard together.
    Duration pause_after_change = std::chrono::milliseconds(120);
    /// Asks some other host while the store turns this one away; none: nobody
    /// is asked.
    std::function<void(const PeerQuestion& question, RowsCallback callback)>
        ask_peer;
    /// How long a host that reads for the region holds a call when nothing
    /// changes.
    Duration reader_wait = std::chrono::milliseconds(1000);
    /// Asks a host that reads for the region.
    /// @return false when this host is to read the store itself.
    std::function<bool(const PeerQuestion& question, RowsCallback callback)>
        ask_reader;
  };

  StoreWatch(adapters::EventLoop& loop,
             StoreClient& store,
             ports::RandomSource& random,
             const Options& options,
             TableListener& listener);
  ~StoreWatch();
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start() { Read(); }
  /// @brief Sets how long the store holds a call, and how long changes may wait
  /// to be heard together, from now on.
  void SetPace(Duration wait, Duration pause_after_change) {
    options_.wait = wait;
    options_.pause_after_change = pause_after_change;
  }

  [[nodiscard]] const std::string& Table() const { return options_.table; }
  [[nodiscard]] bool HasTable() const { return has_table_; }
  /// @return how long ago the store, or a host that it serves, last answered;
  /// nullopt: never.
  [[nodiscard]] std::optional<Duration> Age() const;
  [[nodiscard]] bool IsAway() const { return away_since_.has_value(); }
  /// @brief Another host takes this one for the reader of its region: from now
  /// on it reads the store itself.
  /// @return the rows while it has heard from the store itself within the time
  /// that a call is held, and a little.
  [[nodiscard]] FreshTable TellOthers();
  /// @return the rows as last heard.
  [[nodiscard]] TableMirror& Mirror() { return mirror_; }
  [[nodiscard]] const TableMirror& Mirror() const { return mirror_; }

 private:
  void Read();
  void ReadTable();
  void ReadPage(const std::string& first_key);
  void OnPage(Result<StoreRows, StoreFailure> result);
  void Follow();
  void FollowStore(Duration wait);
  bool FollowReader();
  void OnReaderRows(const Result<StoreRows, StoreFailure>& result);
  /// @return whether the rows are not older than what is known.
  bool TakePeerRows(const StoreRows& rows);
  void OnChanges(const Result<StoreRows, StoreFailure>& result);
  void OnFailure(StoreFailure failure);
  void OnAnswer();
  void AskPeer();
  void OnPeerRows(const Result<StoreRows, StoreFailure>& result);
  void After(Duration delay, void (StoreWatch::*next)());

  adapters::EventLoop& loop_;
  StoreClient& store_;
  ports::RandomSource& random_;
  Options options_;
  TableListener& listener_;
  bool has_table_ = false;
  std::vector<StoreRow> pages_;
  std::uint64_t pages_version_ = 0;
  /// Nothing older than this counts any more.
  std::uint64_t version_ = 0;
  TableMirror mirror_;
  std::optional<MonotonicTime> answered_at_;
  std::optional<MonotonicTime> away_since_;
  /// The store's own last answer.
  std::optional<MonotonicTime> read_at_;
  /// How long the store holds the call that is under way.
  Duration held_for_{0};
  /// The call to a reader that is under way; others that end bring nothing.
  std::optional<std::uint64_t> reader_call_;
  std::uint64_t reader_calls_ = 0;
  /// The store is being asked for what changed, so as to tell others.
  bool is_catching_up_ = false;
  /// Until then this host reads for itself: a reader failed it.
  MonotonicTime direct_until_{};
  std::uint32_t failures_ = 0;
  // Calls under way may outlive the watch.
  std::shared_ptr<StoreWatch*> self_ = std::make_shared<StoreWatch*>(this);
};

}  // namespace medlarcroft::platform

#endif  // MEDLARCROFT_PLATFORM_STORE_WATCH_H_
