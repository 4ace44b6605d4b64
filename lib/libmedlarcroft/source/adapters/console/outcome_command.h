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

/// @brief How the logged requests of several hosts ended, and where they were
/// sent.
class OutcomeSummary {
 public:
  /// @brief Counts one line; those that tell of no request change nothing.
  void Add(const nlohmann::json& line);
  [[nodiscard]] bool IsEmpty() const { return ends_.empty(); }
  void Print(std::ostream& out) const;

 private:
  struct End {
    std::string second;  ///< As the host's clock told it.
    std::string domain;
    std::string route;
    std::string outcome;

    auto operator<=>(const End&) const = default;
  };
  struct Send {
    std::string domain;
    std::string route;
    std::string region;  ///< Of the target.
    bool is_warm = false;

    auto operator<=>(const Send&) const = default;
  };
  struct Sum {
    std::uint64_t count = 0;
    double milliseconds = 0;
  };

  std::map<End, Sum> ends_;    ///< Time from arrival to end.
  std::map<Send, Sum> sends_;  ///< Wait that was expected at the target.
  std::uint64_t left_out_ = 0;
};

/// @brief medlarctl outcomes FILE…: what became of requests, by second, failure
/// domain and route, from several hosts' logs.
[[nodiscard]] ExitCode RunOutcomes(const CommandContext& context,
                                   std::span<const std::string> arguments);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_OUTCOME_COMMAND_H_
