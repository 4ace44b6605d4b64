#ifndef MEDLARCROFT_CATALOGUE_CATALOGUE_STATE_H_
#define MEDLARCROFT_CATALOGUE_CATALOGUE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/catalogue/delta.h"
#include "medlarcroft/catalogue/entry.h"

namespace medlarcroft::catalogue {

/// @brief Outcome of applying a change to a state.
enum class ApplyResult {
  kApplied,
  kAlreadyKnown,  ///< The revision is not newer; no effect.
  kGap,           ///< Intermediate revisions are missing; no effect.
  kMalformed,     ///< Not a JSON object; no effect.
};

/// @brief All entries at one revision, as documents and in parsed form. Changes
/// are applied strictly in the order of their revisions.
class CatalogueState {
 public:
  /// @brief A stored entry.
  struct StoredEntry {
    std::string document;
    /// The latest document of this entry that this version could parse. If a
    /// newer version introduces a kind or field value that this one cannot
    /// parse, the previous document stays in force: dropping the entry would
    /// reject its callers for the whole duration of an upgrade.
    std::optional<Entry> last_parsed;
    bool is_parsed = false;  ///< `last_parsed` was parsed from `document`.
  };

  ApplyResult Apply(const Change& change);

  /// @brief Replaces the state with a snapshot; a snapshot that is not newer
  /// has no effect.
  ApplyResult Replace(const Delta& snapshot);

  [[nodiscard]] std::uint64_t Revision() const { return revision_; }
  [[nodiscard]] const std::map<EntryName, StoredEntry>& Entries() const {
    return entries_;
  }

  [[nodiscard]] SharedCatalogueView MakeView() const;

  /// @return the state as a delta from revision 0.
  [[nodiscard]] Delta MakeSnapshot() const;

  /// @return the entries whose latest document this version cannot parse.
  [[nodiscard]] std::vector<EntryName> UnparsedEntries() const;

 private:
  std::uint64_t revision_ = 0;
  std::map<EntryName, StoredEntry> entries_;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_STATE_H_
