#ifndef MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERIALIZATION_H_
#define MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERIALIZATION_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

#include "adapters/http/http_message.h"

namespace medlarcroft::adapters {

/// @return the fields of a parsed message, in their order.
[[nodiscard]] HttpHeaders CopyFields(
    const boost::beast::http::basic_fields<std::allocator<char>>& fields);

/// @return the headers that may be passed on: without those that concern one
/// connection only (RFC 9110, 7.6.1), those that `Connection` names, and the
/// framing, which each sender sets itself.
[[nodiscard]] HttpHeaders WithoutHopByHopHeaders(const HttpHeaders& headers);

/// @return whether a message of that status never has a body.
[[nodiscard]] bool IsBodyless(int status);

void AppendField(std::string& text,
                 std::string_view name,
                 std::string_view value);

/// @return a request's head and body as sent, with Content-Length where the
/// method or the body asks for it.
[[nodiscard]] std::string FormatRequest(std::string_view method,
                                        std::string_view target,
                                        const HttpHeaders& headers,
                                        std::string_view body);

/// @brief How an answer is framed.
struct AnswerFraming {
  bool keeps_alive = true;
  bool is_head_request = false;
};

/// @return an answer's head and body as sent.
[[nodiscard]] std::string FormatResponse(const HttpResponse& response,
                                         AnswerFraming framing);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERIALIZATION_H_
