#ifndef MEDLARCROFT_ADAPTERS_LOAD_TARGET_PROBE_H_
#define MEDLARCROFT_ADAPTERS_LOAD_TARGET_PROBE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/http/http_client.h"
#include "medlarcroft/load_generator/load_statistics.h"

namespace medlarcroft::adapters {

/// @brief Content of a response to GET /control/runs.
struct RunList {
  std::vector<load_generator::TargetRun> runs;
  bool is_complete = false;  ///< The target has dropped none.
};

/// @return nullopt when the response can't be parsed.
[[nodiscard]] std::optional<RunList> ParseRunList(std::string_view json);

/// @brief Queries stand-in targets for their load and their runs.
class TargetProbe {
 public:
  /// @param client must outlive the probe.
  TargetProbe(HttpClient& client, std::vector<std::string> urls)
      : client_(client), urls_(std::move(urls)) {}

  /// @return the fraction of all slots that are free, or nullopt when no target
  /// responded. Blocks.
  [[nodiscard]] std::optional<double> MeasureHeadroom();

  /// @return the runs of all targets. Blocks.
  [[nodiscard]] load_generator::RunAudit ReadRuns();

 private:
  /// @return the responses to a GET of `path` of all targets that responded.
  std::vector<ClientResponse> GetFromAllTargets(std::string_view path);

  HttpClient& client_;
  const std::vector<std::string> urls_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_LOAD_TARGET_PROBE_H_
