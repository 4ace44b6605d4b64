#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_OUTCOME_COMMAND_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_OUTCOME_COMMAND_H_

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>

#include "adapters/console/command.h"

namespace medlarcroft::adapters {

/// @brief Counts the outcomes and destinations of requests in the logs of
/// several hosts.
class OutcomeSummary {
 public:
  /// @brief Adds one log line; lines without a request outcome or a send are
  /// ignored.
  void Add(const nlohmann::json& line);
  [[nodiscard]] bool IsEmpty() const { return ends_.empty(); }
  void Print(std::ostream& out) const;

 private:
  struct EndKey {
    std::string second;  ///< By the clock of the logging host.
    std::string domain;
    std::string route;
    std::string outcome;

    auto operator<=>(const EndKey&) const = default;
  };
  struct SendKey {
    std::string domain;
    std::string route;
    std::string region;  ///< Region of the target.
    bool is_warm = false;

    auto operator<=>(const SendKey&) const = default;
  };
  struct Total {
    std::uint64_t count = 0;
    double milliseconds = 0;
  };

  std::map<EndKey, Total> ends_;    ///< Sums of time from arrival to end.
  std::map<SendKey, Total> sends_;  ///< Sums of expected wait at the target.
  std::uint64_t unlogged_requests_ = 0;
};

/// @brief medlarctl outcomes FILE…: counts request outcomes by second, failure
/// domain and route, from the logs of several hosts.
[[nodiscard]] ExitCode RunOutcomes(const CommandContext& context,
                                   std::span<const std::string> arguments);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_OUTCOME_COMMAND_H_
