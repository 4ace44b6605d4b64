#include "medlarcroft/catalogue/json_schema.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::catalogue {

namespace {

/// Limits the memory for faults, so that a malicious document cannot make them
/// take more memory than the document itself.
constexpr std::size_t kMaxFaults = 100;

std::string FormatBounds(const std::string& minimum,
                         const std::string& maximum) {
  return minimum + " to " + maximum;
}

std::string FormatNumber(double number) {
  return Json(number).dump();
}

}  // namespace

void FaultSink::Add(const std::string& path,
                    FaultCode code,
                    std::string allowed) {
  if (faults_.size() < kMaxFaults) {
    faults_.push_back(
        {.path = path, .code = code, .allowed = std::move(allowed)});
  }
}

std::string JoinPath(const std::string& path, std::string_view key) {
  std::string joined = path;
  if (!joined.empty()) {
    joined += '.';
  }
  joined += key;
  return joined;
}

const std::string* ReadText(const Json& value,
                            const std::string& path,
                            const TextRule& rule,
                            FaultSink& sink) {
  const auto* text = value.get_ptr<const std::string*>();
  if (text == nullptr) {
    sink.Add(path, FaultCode::kWrongType, std::string(rule.allowed));
    return nullptr;
  }
  if (!rule.accepts(*text)) {
    sink.Add(path, FaultCode::kBadFormat, std::string(rule.allowed));
    return nullptr;
  }
  return text;
}

bool ReadInteger(const Json& value,
                 const std::string& path,
                 std::int64_t minimum,
                 std::int64_t maximum,
                 FaultSink& sink,
                 std::int64_t& out) {
  const std::string allowed =
      "an integer from " +
      FormatBounds(std::to_string(minimum), std::to_string(maximum));
  if (!value.is_number_integer()) {
    sink.Add(path, FaultCode::kWrongType, allowed);
    return false;
  }

  const bool is_beyond_int64 =
      value.is_number_unsigned() &&
      value.get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
  const auto number = is_beyond_int64 ? maximum : value.get<std::int64_t>();
  if (is_beyond_int64 || number < minimum || number > maximum) {
    sink.Add(path, FaultCode::kOutOfRange, allowed);
    return false;
  }
  out = number;
  return true;
}

bool ReadReal(const Json& value,
              const std::string& path,
              double minimum,
              double maximum,
              FaultSink& sink,
              double& out) {
  const std::string allowed =
      "a number from " +
      FormatBounds(FormatNumber(minimum), FormatNumber(maximum));
  if (!value.is_number()) {
    sink.Add(path, FaultCode::kWrongType, allowed);
    return false;
  }

  const auto number = value.get<double>();
  if (!std::isfinite(number) || number < minimum || number > maximum) {
    sink.Add(path, FaultCode::kOutOfRange, allowed);
    return false;
  }
  out = number;
  return true;
}

bool ReadFlag(const Json& value,
              const std::string& path,
              FaultSink& sink,
              bool& out) {
  if (!value.is_boolean()) {
    sink.Add(path, FaultCode::kWrongType, "true or false");
    return false;
  }
  out = value.get<bool>();
  return true;
}

bool ReadChoice(const Json& value,
                const std::string& path,
                std::span<const std::string_view> names,
                FaultSink& sink,
                std::size_t& index) {
  std::string allowed = "one of";
  for (const std::string_view name : names) {
    allowed += " \"" + std::string(name) + "\"";
  }
  const auto* text = value.get_ptr<const std::string*>();
  if (text == nullptr) {
    sink.Add(path, FaultCode::kWrongType, allowed);
    return false;
  }

  const auto found = std::find(names.begin(), names.end(), *text);
  if (found == names.end()) {
    sink.Add(path, FaultCode::kUnknownChoice, allowed);
    return false;
  }
  index = static_cast<std::size_t>(found - names.begin());
  return true;
}

void ReportUnknownFields(const Json& value,
                         const std::string& path,
                         std::span<const std::string_view> known,
                         FaultSink& sink) {
  if (sink.Policy() == UnknownFields::kIgnore) {
    return;
  }
  std::string allowed = "only";
  for (const std::string_view key : known) {
    allowed += " " + std::string(key);
  }

  for (const auto& [key, member] : value.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      // Truncated because the sender chooses the key, which may be as long as
      // the document.
      sink.Add(JoinPath(path, key.substr(0, 64)), FaultCode::kUnknownField,
               allowed);
    }
  }
}

}  // namespace medlarcroft::catalogue
