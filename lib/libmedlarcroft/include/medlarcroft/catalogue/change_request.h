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

/// @brief A change requested by an operator.
struct ChangeRequest {
  /// Chosen by the operator. Repeating a request with the same id never makes a
  /// second change. Must satisfy `IsEntryName`.
  std::string change_id;
  OwnerName owner;  ///< The requester, as authenticated by the caller.
  EntryName entry;
  std::optional<EntryBody> body;  ///< nullopt: delete the entry.
  /// The version last seen by the operator; 0: the entry does not exist.
  std::uint64_t expected_version = 0;
  /// The revision held by the accepting host. Hosts ignore changes with a
  /// revision not above the one they hold, so a change that the platform would
  /// give a lower revision must be rejected: it would never come into force.
  std::uint64_t held_revision = 0;
};

/// @brief The change is committed and will come into force on all hosts.
struct AcceptedResult {
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  /// An earlier attempt with this change id had already been accepted.
  bool was_already_accepted = false;
};

/// @brief Another operator changed the entry first. The change was not made.
struct VersionConflict {
  std::uint64_t current_version = 0;  ///< 0: the entry does not exist.
  std::string current_document;       ///< Empty if the entry does not exist.
};

/// @brief The change failed validation. It was not made.
struct InvalidChange {
  FieldFaults faults;
};

/// @brief The change id was already used for a different change. This change
/// was not made.
struct ChangeIdReused {
  std::uint64_t revision = 0;
};

/// @brief The platform is unavailable. It is certain that the change was not
/// made and will not be made.
struct StoreUnavailable {};

/// @brief The latest revision on the platform is lower than the one held by
/// hosts, for example after a backup was restored. The change was not made; an
/// operator must intervene.
struct PlatformBehind {
  std::uint64_t platform_revision = 0;
  std::uint64_t held_revision = 0;
};

/// @brief Too many concurrent changes were committed first. The change was not
/// made.
struct TooMuchContention {};

/// @brief The change may have been made or may still take effect: the
/// platform's response was lost and the platform cannot be read. Repeating the
/// request with the same change id determines the outcome.
struct ChangeOutcomeUnknown {
  std::string change_id;
};

using ChangeFailure = std::variant<VersionConflict,
                                   InvalidChange,
                                   ChangeIdReused,
                                   StoreUnavailable,
                                   PlatformBehind,
                                   TooMuchContention,
                                   ChangeOutcomeUnknown>;

using ChangeResult = Result<AcceptedResult, ChangeFailure>;

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CHANGE_REQUEST_H_
