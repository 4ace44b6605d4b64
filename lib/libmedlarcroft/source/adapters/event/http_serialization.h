#ifndef MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERIALIZATION_H_
#define MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERIALIZATION_H_

#include <boost/beast/http/fields.hpp>
#include <string>
#include <string_view>

#include "adapters/http/http_message.h"

namespace medlarcroft::adapters {

/// @return the header fields of a parsed message, in their order.
[[nodiscard]] HttpHeaders CopyHeaders(
    const boost::beast::http::basic_fields<std::allocator<char>>& fields);

/// @return the headers that may be forwarded: without hop-by-hop headers (RFC
/// 9110, section 7.6.1), headers listed in `Connection`, and the message
/// framing, which each sender sets itself.
[[nodiscard]] HttpHeaders WithoutHopByHopHeaders(const HttpHeaders& headers);

/// @return whether a message with this status never has a body.
[[nodiscard]] bool HasNoBodyByStatus(int status);

void AppendHeader(std::string& text,
                  std::string_view name,
                  std::string_view value);

/// @brief As `FormatRequest`, for a body whose end is sent apart.
/// @param bytes_apart of the body, beyond `body`.
[[nodiscard]] std::string FormatRequestHead(std::string_view method,
                                            std::string_view target,
                                            const HttpHeaders& headers,
                                            std::string_view body,
                                            std::size_t bytes_apart);
/// @return the serialized head and body of a request, with Content-Length where
/// the method or the body requires it.
[[nodiscard]] std::string FormatRequest(std::string_view method,
                                        std::string_view target,
                                        const HttpHeaders& headers,
                                        std::string_view body);

/// @brief How a response is framed.
struct ResponseFraming {
  bool keeps_alive = true;
  bool is_head_request = false;
};

/// @return the head of `FormatResponse`, for a body that is sent apart.
[[nodiscard]] std::string FormatResponseHead(const HttpResponse& response,
                                             ResponseFraming framing);
/// @return the serialized head and body of a response.
[[nodiscard]] std::string FormatResponse(const HttpResponse& response,
                                         ResponseFraming framing);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERIALIZATION_H_
