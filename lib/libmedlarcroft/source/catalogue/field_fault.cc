#include "medlarcroft/catalogue/field_fault.h"

namespace medlarcroft::catalogue {

std::string_view NameOf(FaultCode code) {
  switch (code) {
    case FaultCode::kNotJson:
      return "not-json";
    case FaultCode::kTooLarge:
      return "too-large";
    case FaultCode::kMissing:
      return "missing";
    case FaultCode::kUnknownField:
      return "unknown-field";
    case FaultCode::kWrongType:
      return "wrong-type";
    case FaultCode::kOutOfRange:
      return "out-of-range";
    case FaultCode::kBadFormat:
      return "bad-format";
    case FaultCode::kDuplicate:
      return "duplicate";
    case FaultCode::kUnknownChoice:
      return "unknown-choice";
    case FaultCode::kUnknownReference:
      return "unknown-reference";
    case FaultCode::kStillReferenced:
      return "still-referenced";
    case FaultCode::kOwnerChange:
      return "owner-change";
    case FaultCode::kNameMismatch:
      return "name-mismatch";
  }
  return "unknown";
}

}  // namespace medlarcroft::catalogue
