#ifndef MEDLARCROFT_ADAPTERS_LOAD_DEPLOYMENT_FILE_H_
#define MEDLARCROFT_ADAPTERS_LOAD_DEPLOYMENT_FILE_H_

#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/result.h"

namespace medlarcroft::adapters {

/// @brief Addresses of a running deployment.
struct Deployment {
  std::vector<std::string> lookup_urls;  ///< Of each medlar-steerd.
  std::vector<std::string> target_urls;  ///< Of each stand-in target.
};

enum class DeploymentFileError { kNotJson, kNoSteerd };

/// @param json content of the file that `scripts/demo --keep` writes.
[[nodiscard]] Result<Deployment, DeploymentFileError> ParseDeployment(
    std::string_view json);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_LOAD_DEPLOYMENT_FILE_H_
