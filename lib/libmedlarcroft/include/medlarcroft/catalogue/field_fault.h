#ifndef MEDLARCROFT_CATALOGUE_FIELD_FAULT_H_
#define MEDLARCROFT_CATALOGUE_FIELD_FAULT_H_

#include <string>
#include <string_view>
#include <vector>

namespace medlarcroft::catalogue {

/// @brief Kind of a validation fault.
enum class FaultCode {
  kNotJson,
  kTooLarge,
  kMissing,
  kUnknownField,
  kWrongType,
  kOutOfRange,
  kBadFormat,
  kDuplicate,
  kUnknownChoice,
  kUnknownReference,  ///< Refers to something not in the catalogue.
  kStillReferenced,   ///< A deletion would leave a dangling reference.
  kOwnerChange,
  kNameMismatch,
};

/// @return the code as written in responses to operators, for example
/// "out-of-range".
[[nodiscard]] std::string_view NameOf(FaultCode code);

/// @brief A validation fault of an entry; validation reports all faults at
/// once.
struct FieldFault {
  std::string path;  ///< For example "targets[3].slots"; empty: the document.
  FaultCode code = FaultCode::kNotJson;
  std::string allowed;  ///< Human-readable description of valid values.

  friend bool operator==(const FieldFault&, const FieldFault&) = default;
};

using FieldFaults = std::vector<FieldFault>;

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_FIELD_FAULT_H_
