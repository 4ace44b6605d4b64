#ifndef MEDLARCROFT_ADAPTERS_LOAD_LOAD_PLAN_SCHEMA_H_
#define MEDLARCROFT_ADAPTERS_LOAD_LOAD_PLAN_SCHEMA_H_

#include "adapters/process/settings_schema.h"
#include "medlarcroft/load_generator/load_plan.h"

namespace medlarcroft::adapters {

/// @return the schema of a load plan's YAML file.
[[nodiscard]] const SettingsSchema<load_generator::LoadPlan>& LoadPlanSchema();

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_LOAD_LOAD_PLAN_SCHEMA_H_
