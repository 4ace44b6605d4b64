#ifndef MEDLARCROFT_PROGRAMS_LOAD_LOAD_RUN_H_
#define MEDLARCROFT_PROGRAMS_LOAD_LOAD_RUN_H_

#include "adapters/load/deployment_file.h"
#include "load/load_options.h"
#include "medlarcroft/load_generator/load_plan.h"
#include "medlarcroft/load_generator/load_report.h"

namespace medlarcroft::load {

/// @brief Sends the requests of a plan to a deployment and checks the
/// responses. Blocks until all requests have ended.
[[nodiscard]] load_generator::LoadReport RunLoad(
    const load_generator::LoadPlan& plan,
    const adapters::Deployment& deployment,
    const LoadOptions& options);

}  // namespace medlarcroft::load

#endif  // MEDLARCROFT_PROGRAMS_LOAD_LOAD_RUN_H_
