#ifndef MEDLARCROFT_ADAPTERS_LOAD_TARGET_PROBE_H_
#define MEDLARCROFT_ADAPTERS_LOAD_TARGET_PROBE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/http/http_client.h"
#include "medlarcroft/load_generator/load_statistics.h"

namespace medlarcroft::adapters {

/// @brief What one answer to GET /control/runs says.
struct RunList {
  std::vector<load_generator::TargetRun> runs;
  bool is_complete = false;  ///< The target has dropped none.
};

/// @return nullopt when the answer can't be understood.
[[nodiscard]] std::optional<RunList> ParseRunList(std::string_view json);

/// @brief Asks stand-in targets for their load and their runs.
class TargetProbe {
 public:
  /// @param client must outlive the probe.
  TargetProbe(HttpClient& client, std::vector<std::string> urls)
      : client_(client), urls_(std::move(urls)) {}

  /// @return the share of all slots that is free, or nullopt when no target
  /// answered. Blocks.
  [[nodiscard]] std::optional<double> MeasureHeadroom();

  /// @return every target's runs. Blocks.
  [[nodiscard]] load_generator::RunAudit ReadRuns();

 private:
  /// @return the answers to a GET of `path` from all targets that gave one.
  std::vector<ClientResponse> AskAll(std::string_view path);

  HttpClient& client_;
  const std::vector<std::string> urls_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_LOAD_TARGET_PROBE_H_
