#ifndef MEDLARCROFT_ADAPTERS_PLATFORM_PLATFORM_JSON_H_
#define MEDLARCROFT_ADAPTERS_PLATFORM_PLATFORM_JSON_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/ports/host_list.h"
#include "medlarcroft/ports/table_store.h"

/// @file
/// @brief The JSON bodies of the platform's HTTP interface. The parsers return
/// nullopt for a malformed body; the formatters return nullopt when a text is
/// not valid UTF-8, which JSON can't represent.

namespace medlarcroft::adapters {

/// Value of `code` in an error body, `{"code":"not-done"}`, by which the
/// platform states that a refused call had no effect.
constexpr std::string_view kNotDoneCode = "not-done";

[[nodiscard]] std::optional<std::string> FormatRow(const ports::Row& row);
[[nodiscard]] std::optional<ports::Row> ParseRow(std::string_view body);

[[nodiscard]] std::optional<std::string> FormatRows(
    const std::vector<ports::Row>& rows);
[[nodiscard]] std::optional<std::vector<ports::Row>> ParseRows(
    std::string_view body);

[[nodiscard]] std::optional<std::string> FormatTransaction(
    const ports::Transaction& transaction);
[[nodiscard]] std::optional<ports::Transaction> ParseTransaction(
    std::string_view body);

[[nodiscard]] std::optional<std::string> FormatOutcome(
    const ports::TransactionOutcome& outcome);
[[nodiscard]] std::optional<ports::TransactionOutcome> ParseOutcome(
    std::string_view body);

[[nodiscard]] std::optional<std::string> FormatHosts(
    const std::vector<ports::ListedHost>& hosts);
[[nodiscard]] std::optional<std::vector<ports::ListedHost>> ParseHosts(
    std::string_view body);

/// @return whether an error body states that the call had no effect.
[[nodiscard]] bool IsNotDoneBody(std::string_view body);

/// @return `text` percent-encoded (%XX), except letters, digits and "-._~".
[[nodiscard]] std::string PercentEncode(std::string_view text);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PLATFORM_PLATFORM_JSON_H_
