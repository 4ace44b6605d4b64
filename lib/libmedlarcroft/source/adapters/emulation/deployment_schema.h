#ifndef MEDLARCROFT_ADAPTERS_EMULATION_DEPLOYMENT_SCHEMA_H_
#define MEDLARCROFT_ADAPTERS_EMULATION_DEPLOYMENT_SCHEMA_H_

#include "adapters/process/settings_schema.h"
#include "medlarcroft/emulation/emulated_deployment.h"

namespace medlarcroft::adapters {

/// @return the schema of an emulated deployment's YAML file.
[[nodiscard]] const SettingsSchema<emulation::EmulatedDeployment>&
EmulatedDeploymentSchema();

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EMULATION_DEPLOYMENT_SCHEMA_H_
