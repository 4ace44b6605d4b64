#ifndef MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_RESPONSES_H_
#define MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_RESPONSES_H_

#include <string>
#include <string_view>
#include <vector>

#include "adapters/http/http_message.h"
#include "medlarcroft/catalogue/operator_api.h"

/// @file
/// @brief The operators' answers as HTTP.

namespace medlarcroft::adapters {

/// @brief A refusal before the operators' interface was asked.
[[nodiscard]] HttpResponse MakeRefusal(int status, std::string_view code);

[[nodiscard]] HttpResponse MakeAnswer(const catalogue::OperatorFailure&);
[[nodiscard]] HttpResponse MakeAnswer(const catalogue::EntryAnswer&);
[[nodiscard]] HttpResponse MakeAnswer(const catalogue::ChangeAnswer&);
[[nodiscard]] HttpResponse MakeAnswer(const catalogue::ListAnswer&);
[[nodiscard]] HttpResponse MakeAnswer(
    const std::vector<catalogue::HistoryItem>&);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_RESPONSES_H_
