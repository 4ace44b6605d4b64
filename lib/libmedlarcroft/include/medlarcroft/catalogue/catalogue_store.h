#ifndef MEDLARCROFT_CATALOGUE_CATALOGUE_STORE_H_
#define MEDLARCROFT_CATALOGUE_CATALOGUE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "medlarcroft/catalogue/catalogue_reader.h"
#include "medlarcroft/catalogue/catalogue_rows.h"
#include "medlarcroft/catalogue/catalogue_state.h"
#include "medlarcroft/catalogue/change_request.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/object_store.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::catalogue {

/// @brief An entry as currently stored on the platform.
struct EntryReadResult {
  std::uint64_t version = 0;  ///< 0: the entry does not exist.
  std::string document;
};

/// @brief Accepts catalogue changes, each in one transaction, and reads entries
/// and their history. Calls block on the platform and may come from any thread.
///
/// A transaction requires that the entry row, the head row and the change-id
/// row are unchanged since they were read. So exactly one of two concurrent
/// changes of an entry wins, and a change is validated against the very
/// revision that it follows. If the response to a commit is lost, the change-id
/// row shows whether the change was made. Retrying with the same conditions is
/// safe meanwhile: if the first attempt takes effect, the retry fails on the
/// change-id row, and if the retry takes effect, the first attempt fails on its
/// conditions.
class CatalogueStore {
 public:
  struct Options {
    /// Maximum number of attempts for one change. At 730 changes a day,
    /// conflicts on the head row are rare; eight attempts are enough for a
    /// burst of several concurrent scripts.
    int max_attempts = 8;
    Duration first_backoff = std::chrono::milliseconds(20);
    Duration max_backoff = std::chrono::seconds(1);
    /// No attempt starts after this time, because an operator waits for the
    /// response.
    Duration time_limit = std::chrono::seconds(10);
    /// Revisions between snapshots. A cold start reads one snapshot and at most
    /// this many changes, which fit one page.
    std::uint64_t snapshot_interval = 64;
    std::size_t kept_snapshots = 3;
  };

  struct Ports {
    ports::TableStore& table;
    ports::ObjectStore& objects;
    const ports::Clock& clock;
    ports::RandomSource& random;  ///< Used only while holding the store's lock.
    std::function<void(Duration duration)> sleep;
  };

  CatalogueStore(Options options, Ports ports);

  [[nodiscard]] ChangeResult Accept(const ChangeRequest& request);

  [[nodiscard]] Result<EntryReadResult, CatalogueReadFailure> Read(
      const EntryName& entry);

  /// @return the most recent changes of `entry`, newest first.
  [[nodiscard]] Result<std::vector<HistoryItem>, CatalogueReadFailure> History(
      const EntryName& entry,
      std::size_t limit);

  /// @brief Writes a snapshot if the latest one is at least `snapshot_interval`
  /// revisions old. `Accept` calls this after each change; a failure does not
  /// fail the change, and the next change tries again.
  /// @return whether a snapshot was written.
  bool WriteSnapshotIfDue();

 private:
  [[nodiscard]] std::shared_ptr<const CatalogueState> State() const;
  [[nodiscard]] Result<std::shared_ptr<const CatalogueState>,
                       CatalogueReadFailure>
  CatchUp(std::uint64_t revision);
  [[nodiscard]] Duration Backoff(int attempt);

  const Options options_;
  const Ports ports_;

  mutable std::mutex mutex_;
  std::shared_ptr<const CatalogueState> state_;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_STORE_H_
