#ifndef MEDLARCROFT_CATALOGUE_OPERATOR_API_H_
#define MEDLARCROFT_CATALOGUE_OPERATOR_API_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "medlarcroft/catalogue/catalogue_replica.h"
#include "medlarcroft/catalogue/catalogue_store.h"
#include "medlarcroft/catalogue/field_fault.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::catalogue {

/// @brief Required state of the entry before a change.
struct Precondition {
  enum class Kind {
    kNone,          ///< Not specified: succeeds only if there is no such entry.
    kMustNotExist,  ///< The entry is created.
    kVersion,       ///< The entry has exactly `version`.
  };
  Kind kind = Kind::kNone;
  std::uint64_t version = 0;
};

/// @brief A change requested through the operator interface.
struct OperatorChange {
  OwnerName owner;  ///< As authenticated.
  EntryName entry;
  std::string document;  ///< Unused for a deletion.
  Precondition precondition;
  std::string change_id;  ///< Empty: generated and returned.
};

/// @brief Why an operator's request failed.
enum class OperatorFailureCode {
  kBadEntryName,
  kBadChangeId,
  kInvalidEntry,
  kNotOwner,
  kNotFound,
  kVersionConflict,
  kPreconditionRequired,
  kChangeIdReused,
  kPlatformUnavailable,
  kPlatformBehind,
  kContended,
  kOutcomeUnknown,
};

/// @brief A failure with the details needed to correct the request.
struct OperatorFailure {
  OperatorFailureCode code = OperatorFailureCode::kNotFound;
  std::string change_id;  ///< Set for changes.
  FieldFaults faults;     ///< kInvalidEntry, kNotOwner.
  std::uint64_t current_version =
      0;  ///< kVersionConflict, kPreconditionRequired.
  std::string current_document;
};

/// @brief Result of an accepted change.
struct ChangeAnswer {
  std::string change_id;
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  bool is_created = false;
  bool was_already_accepted = false;
};

/// @brief Result of reading an entry.
struct EntryAnswer {
  std::string document;
  std::uint64_t version = 0;
  /// The platform could not be read; this is the entry in force on this host.
  bool is_from_replica = false;
};

/// @brief An entry in a listing.
struct ListedEntry {
  EntryName name;
  std::string kind;
  OwnerName owner;
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
};

/// @brief The entries in force on this host.
struct ListAnswer {
  std::uint64_t revision = 0;
  std::vector<ListedEntry> entries;
};

/// @brief Operator interface of the catalogue, independent of the transport.
/// All calls except `List` block on the platform and must run on a worker
/// thread.
class OperatorApi {
 public:
  struct Ports {
    CatalogueStore& store;
    const CatalogueReplica& replica;
    std::function<std::string()> make_change_id;
  };

  explicit OperatorApi(Ports ports);

  [[nodiscard]] Result<EntryAnswer, OperatorFailure> Get(
      const EntryName& entry);
  [[nodiscard]] Result<ChangeAnswer, OperatorFailure> Put(
      const OperatorChange& change);
  [[nodiscard]] Result<ChangeAnswer, OperatorFailure> Delete(
      const OperatorChange& change);
  [[nodiscard]] Result<std::vector<HistoryItem>, OperatorFailure> History(
      const EntryName& entry,
      std::size_t limit);
  /// @param kind limits the list to entries of this kind; empty: all entries.
  [[nodiscard]] ListAnswer List(std::string_view kind) const;

 private:
  [[nodiscard]] std::optional<OperatorFailure> CheckNames(
      const OperatorChange& change) const;
  [[nodiscard]] Result<ChangeAnswer, OperatorFailure> Accept(
      const OperatorChange& change,
      ChangeRequest request);

  Ports ports_;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_OPERATOR_API_H_
