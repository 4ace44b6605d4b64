#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_RESPONSE_REPORT_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_RESPONSE_REPORT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "adapters/console/command.h"
#include "medlarcroft/catalogue/field_fault.h"

namespace medlarcroft::adapters {

/// @return the exit code that corresponds to a response of the operator API.
[[nodiscard]] ExitCode ExitCodeOf(const ClientResponse& response);

/// @brief Prints that no steerd responded.
/// @param change_id set when the request was a change, which may have been
/// accepted.
[[nodiscard]] ExitCode ReportNoResponse(const CommandContext& context,
                                        const NoSteerdResponse& failure,
                                        std::string_view change_id);

/// @brief A parsed JSON response to a GET request.
struct JsonResponse {
  nlohmann::ordered_json body;
  HttpHeaders headers;
};

/// @brief Sends a GET request to the first steerd that responds, and prints the
/// response: unchanged with --json, otherwise with `print`.
[[nodiscard]] ExitCode GetAndPrint(
    const CommandContext& context,
    const std::string& path,
    const std::function<void(const JsonResponse& response)>& print);

/// @brief Prints the body of an error response, including its list of faults.
[[nodiscard]] ExitCode ReportErrorResponse(const CommandContext& context,
                                           const ClientResponse& response);

/// @return the exit code of a change. If an earlier attempt got no response,
/// only success or a conflict is conclusive: the change id or the entry's
/// version then rules out that the earlier attempt takes effect later. After
/// any other error the outcome is unknown.
[[nodiscard]] ExitCode ExitCodeOfChange(const SteerdResponse& response);

/// @brief Prints faults as a table with path, fault and allowed values.
void PrintFieldFaults(const catalogue::FieldFaults& faults, std::ostream& out);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_RESPONSE_REPORT_H_
