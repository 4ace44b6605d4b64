#ifndef MEDLARCROFT_CATALOGUE_CATALOGUE_READER_H_
#define MEDLARCROFT_CATALOGUE_CATALOGUE_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "medlarcroft/catalogue/catalogue_state.h"
#include "medlarcroft/catalogue/delta.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/ports/object_store.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::catalogue {

/// @brief Reasons why the catalogue could not be read from the platform.
enum class CatalogueReadFailure {
  kNoAnswer,    ///< Down, slow or unreachable; a retry may succeed.
  kDamagedRow,  ///< A row cannot be parsed; an operator must intervene.
};

/// @brief Contents of the head row.
struct Head {
  std::uint64_t revision = 0;     ///< 0: no change was ever accepted.
  std::uint64_t row_version = 0;  ///< Condition for committing the next change.
};

/// @brief Reads the catalogue from the platform. Calls block.
class CatalogueReader {
 public:
  CatalogueReader(ports::TableStore& table, ports::ObjectStore& objects);

  [[nodiscard]] Result<Head, CatalogueReadFailure> ReadHead();

  /// @return up to one page of consecutive changes after `revision`; empty if
  /// there are none.
  [[nodiscard]] Result<Delta, CatalogueReadFailure> ReadChanges(
      std::uint64_t revision);

  /// @return the latest valid snapshot; a damaged snapshot is skipped in favor
  /// of the previous one. nullopt if no snapshot is usable.
  [[nodiscard]] Result<std::optional<Delta>, CatalogueReadFailure>
  ReadSnapshot();

  /// @brief Advances `state` to at least `revision`: an empty state starts from
  /// a snapshot, then changes are applied one by one. Changes applied before a
  /// failure are kept, so a retry continues from there.
  [[nodiscard]] Result<Success, CatalogueReadFailure> CatchUp(
      CatalogueState& state,
      std::uint64_t revision);

  [[nodiscard]] std::uint64_t DamagedSnapshots() const {
    return damaged_snapshots_;
  }

 private:
  [[nodiscard]] Result<std::vector<ports::Row>, ports::StoreFailure> ScanPage(
      std::uint64_t revision);

  ports::TableStore& table_;
  ports::ObjectStore& objects_;
  std::uint64_t damaged_snapshots_ = 0;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_READER_H_
