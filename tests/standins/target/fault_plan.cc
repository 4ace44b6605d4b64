#include "standins/target/fault_plan.h"

#include <array>
#include <nlohmann/json.hpp>

namespace medlarcroft::standins {

namespace {

using nlohmann::json;

struct BoolField {
  std::string_view name;
  bool FaultPlan::*member;
};

struct DurationField {
  std::string_view name;
  Duration FaultPlan::*member;
};

constexpr std::array kBoolFields = {
    BoolField{"shed", &FaultPlan::shed},
    BoolField{"draining", &FaultPlan::draining},
    BoolField{"truncated_answer", &FaultPlan::truncated_response},
    BoolField{"silent_connections", &FaultPlan::silent_connections},
    BoolField{"crossed_answer", &FaultPlan::mismatched_response},
    BoolField{"run_twice", &FaultPlan::run_twice},
};

constexpr std::array kDurationFields = {
    DurationField{"latency_ms", &FaultPlan::latency},
    DurationField{"cold_start", &FaultPlan::cold_start},
    DurationField{"rest_ms", &FaultPlan::rest},
};

std::optional<std::uint32_t> ReadNumber(const json& value) {
  if (!value.is_number_unsigned()) {
    return std::nullopt;
  }
  return value.get<std::uint32_t>();
}

std::optional<FaultPlanError> SetField(FaultPlan& plan,
                                       std::string_view name,
                                       const json& value) {
  for (const BoolField& field : kBoolFields) {
    if (field.name == name) {
      if (!value.is_boolean()) {
        return FaultPlanError::kWrongType;
      }
      plan.*field.member = value.get<bool>();
      return std::nullopt;
    }
  }
  for (const DurationField& field : kDurationFields) {
    if (field.name == name) {
      const auto number = ReadNumber(value);
      plan.*field.member = std::chrono::milliseconds(number.value_or(0));
      return number ? std::nullopt : std::optional(FaultPlanError::kWrongType);
    }
  }
  if (name == "lying_load") {
    plan.false_load = ReadNumber(value);
    return plan.false_load ? std::nullopt
                           : std::optional(FaultPlanError::kWrongType);
  }
  return FaultPlanError::kUnknownField;
}

}  // namespace

Result<FaultPlan, FaultPlanError> ParseFaultPlan(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return FaultPlanError::kNotAnObject;
  }

  FaultPlan plan;
  for (const auto& [name, value] : document.items()) {
    if (const auto error = SetField(plan, name, value)) {
      return *error;
    }
  }
  return plan;
}

}  // namespace medlarcroft::standins
