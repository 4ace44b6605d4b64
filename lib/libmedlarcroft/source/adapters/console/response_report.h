#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_RESPONSE_REPORT_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_RESPONSE_REPORT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "adapters/console/command.h"
#include "medlarcroft/catalogue/field_fault.h"

namespace medlarcroft::adapters {

/// @return the exit code that an answer of the operators' interface stands for.
[[nodiscard]] ExitCode ExitCodeOf(const ClientResponse& answer);

/// @brief Says why no steerd answered.
/// @param change_id set for a change: it may have been made.
[[nodiscard]] ExitCode ReportNoAnswer(const CommandContext& context,
                                      const NoSteerdAnswered& failure,
                                      std::string_view change_id);

/// @brief A JSON answer to a read.
struct JsonReply {
  nlohmann::ordered_json body;
  HttpHeaders headers;
};

/// @brief Reads from the first steerd that answers, and prints the answer:
/// with --json as it is, else by `print`.
[[nodiscard]] ExitCode GetAndPrint(
    const CommandContext& context,
    const std::string& path,
    const std::function<void(const JsonReply& reply)>& print);

/// @brief Says what a refusal says, with its faults.
[[nodiscard]] ExitCode ReportRefusal(const CommandContext& context,
                                     const ClientResponse& answer);

/// @return the exit code of a change. After a lost answer only an acceptance or
/// a conflict is proof: the change id or the entry's version then rules out
/// that the first request takes effect later; any other refusal leaves it open.
[[nodiscard]] ExitCode ExitCodeOfChange(const SteerdReply& reply);

/// @brief Prints faults as a table.
void PrintFieldFaults(const catalogue::FieldFaults& faults, std::ostream& out);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_RESPONSE_REPORT_H_
