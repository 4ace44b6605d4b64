#ifndef MEDLARCROFT_CATALOGUE_CHANGE_REQUEST_H_
#define MEDLARCROFT_CATALOGUE_CHANGE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/catalogue/field_fault.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::catalogue {

/// @brief A change that an operator asks for.
struct ChangeRequest {
  /// Chosen by the operator; asking again with the same id never makes a second
  /// change. A name by `IsEntryName`.
  std::string change_id;
  OwnerName owner;  ///< Who asks, as authenticated by the caller.
  EntryName entry;
  std::optional<EntryBody> body;  ///< nullopt: delete the entry.
  /// The version that the operator has seen; 0: there is no such entry.
  std::uint64_t expected_version = 0;
  /// The revision that the accepting host holds. Every host ignores a change
  /// below what it holds, so one that the platform would number lower must not
  /// be accepted: it would never be in force.
  std::uint64_t held_revision = 0;
};

/// @brief The change is committed and will be in force everywhere.
struct AcceptedResult {
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  /// An earlier attempt with this id had been accepted already.
  bool was_already_accepted = false;
};

/// @brief Another operator was first. The change was not made.
struct VersionConflict {
  std::uint64_t current_version = 0;  ///< 0: there is no such entry.
  std::string current_document;       ///< Empty when there is none.
};

/// @brief The change does not fit. It was not made.
struct InvalidChange {
  FieldFaults faults;
};

/// @brief The id belongs to an earlier, different change. This one was not
/// made.
struct ChangeIdReused {
  std::uint64_t revision = 0;
};

/// @brief The platform could not be asked. It is proved that the change was not
/// made and won't be.
struct StoreUnavailable {};

/// @brief The platform's newest revision is below what hosts hold, as after a
/// restored backup. The change was not made; people have to act.
struct PlatformBehind {
  std::uint64_t platform_revision = 0;
  std::uint64_t held_revision = 0;
};

/// @brief Too many other changes went first. The change was not made.
struct TooContended {};

/// @brief The change may have been made, or may still be: the platform's answer
/// was lost and it can't be asked. Asking again with the same id settles it.
struct ChangeOutcomeUnknown {
  std::string change_id;
};

using ChangeFailure = std::variant<VersionConflict,
                                   InvalidChange,
                                   ChangeIdReused,
                                   StoreUnavailable,
                                   PlatformBehind,
                                   TooContended,
                                   ChangeOutcomeUnknown>;

using ChangeResult = Result<AcceptedResult, ChangeFailure>;

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CHANGE_REQUEST_H_
