#ifndef MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_RESPONSES_H_
#define MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_RESPONSES_H_

#include <string>
#include <string_view>
#include <vector>

#include "adapters/http/http_message.h"
#include "medlarcroft/catalogue/operator_api.h"

/// @file
/// @brief Results of `OperatorApi` as HTTP responses.

namespace medlarcroft::adapters {

/// @brief The response to a request that is rejected before it reaches
/// `OperatorApi`.
[[nodiscard]] HttpResponse MakeErrorResponse(int status, std::string_view code);

[[nodiscard]] HttpResponse MakeResponse(const catalogue::OperatorFailure&);
[[nodiscard]] HttpResponse MakeResponse(const catalogue::EntryAnswer&);
[[nodiscard]] HttpResponse MakeResponse(const catalogue::ChangeAnswer&);
[[nodiscard]] HttpResponse MakeResponse(const catalogue::ListAnswer&);
[[nodiscard]] HttpResponse MakeResponse(
    const std::vector<catalogue::HistoryItem>&);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_RESPONSES_H_
