#include "adapters/event/http_serialization.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <vector>

namespace medlarcroft::adapters {

namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Content-Length"};

template <typename Names>
bool Contains(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [&](const auto& other) {
    return IsSameHeaderName(other, name);
  });
}

void AppendHeaders(std::string& text, const HttpHeaders& headers) {
  for (const HttpHeader& field : headers.Fields()) {
    AppendHeader(text, field.name, field.value);
  }
}

/// @return the reason phrase; empty for a status without a known name.
boost::beast::string_view ReasonOf(int status) {
  namespace http = boost::beast::http;
  const http::status known = http::int_to_status(static_cast<unsigned>(status));
  return known == http::status::unknown ? boost::beast::string_view()
                                        : http::obsolete_reason(known);
}

bool MethodExpectsBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

}  // namespace

HttpHeaders CopyHeaders(
    const boost::beast::http::basic_fields<std::allocator<char>>& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    headers.Add({field.name_string().data(), field.name_string().size()},
                {field.value().data(), field.value().size()});
  }
  return headers;
}

HttpHeaders WithoutHopByHopHeaders(const HttpHeaders& headers) {
  const std::vector<std::string> named = HeadersNamedByConnection(headers);
  HttpHeaders kept;
  for (const HttpHeader& field : headers.Fields()) {
    if (!Contains(kHopByHopHeaders, field.name) &&
        !Contains(named, field.name)) {
      kept.Add(field.name, field.value);
    }
  }
  return kept;
}

bool HasNoBodyByStatus(int status) {
  return status / 100 == 1 || status == 204 || status == 304;
}

void AppendHeader(std::string& text,
                  std::string_view name,
                  std::string_view value) {
  text.append(name).append(": ").append(value).append("\r\n");
}

std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const HttpHeaders& headers,
                              std::string_view body,
                              std::size_t bytes_apart) {
  const std::size_t length = body.size() + bytes_apart;
  std::string text;
  text.reserve(512 + body.size());
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(text, headers);
  if (length > 0 || MethodExpectsBody(method)) {
    AppendHeader(text, "Content-Length", std::to_string(length));
  }
  text.append("\r\n").append(body);
  return text;
}

std::string FormatRequest(std::string_view method,
                          std::string_view target,
                          const HttpHeaders& headers,
                          std::string_view body) {
  return FormatRequestHead(method, target, headers, body, 0);
}

std::string FormatResponseHead(const HttpResponse& response,
                               ResponseFraming framing) {
  const boost::beast::string_view reason = ReasonOf(response.status);
  std::string text;
  text.append("HTTP/1.1 ")
      .append(std::to_string(response.status))
      .append(" ")
      .append(reason.data(), reason.size())
      .append("\r\n");
  AppendHeaders(text, response.headers);
  if (!HasNoBodyByStatus(response.status) && !framing.is_head_request) {
    AppendHeader(text, "Content-Length", std::to_string(response.body.size()));
  }
  if (!framing.keeps_alive) {
    AppendHeader(text, "Connection", "close");
  }
  text.append("\r\n");
  return text;
}

std::string FormatResponse(const HttpResponse& response,
                           ResponseFraming framing) {
  std::string text = FormatResponseHead(response, framing);
  if (!HasNoBodyByStatus(response.status) && !framing.is_head_request) {
    text.append(response.body);
  }
  return text;
}

}  // namespace medlarcroft::adapters
