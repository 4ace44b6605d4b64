// Lines that a server sends as a head: whatever passes the rule is a head for
// every other reader, too, after it was passed on.
#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/event/http_serialization.h"
#include "medlarcroft/response/response_head.h"

namespace {

namespace http = boost::beast::http;
namespace response = medlarcroft::response;
using medlarcroft::IsOk;
using medlarcroft::ValueOf;
using medlarcroft::adapters::HttpHeaders;
using medlarcroft::adapters::HttpResponse;

std::string_view TakeLine(std::string_view& text) {
  const std::string_view line = text.substr(0, text.find("\r\n"));
  text.remove_prefix(std::min(text.size(), line.size() + 2));
  return line;
}

std::vector<std::string> ValuesOf(const HttpHeaders& headers,
                                  std::string_view name) {
  std::vector<std::string> values;
  for (const auto& field : headers.Fields()) {
    if (medlarcroft::adapters::IsSameHeaderName(field.name, name)) {
      values.push_back(field.value);
    }
  }
  return values;
}

/// @return whether another reader reads the same from what is passed on.
bool IsReadBack(const HttpResponse& passed_on) {
  http::response_parser<http::string_body> parser;
  parser.skip(true);
  parser.header_limit(std::numeric_limits<std::uint32_t>::max());
  boost::beast::error_code error;
  const std::string text = FormatResponse(passed_on, {.is_head_request = true});
  parser.put(boost::asio::buffer(text.data(), text.size()), error);
  if (error || !parser.is_header_done() ||
      static_cast<int>(parser.get().result_int()) != passed_on.status) {
    return false;
  }
  // Fields of different names have no order among each other.
  const HttpHeaders read = medlarcroft::adapters::CopyHeaders(parser.get());
  return read.Fields().size() == passed_on.headers.Fields().size() &&
         std::ranges::all_of(passed_on.headers.Fields(),
                             [&](const auto& field) {
                               return ValuesOf(read, field.name) ==
                                      ValuesOf(passed_on.headers, field.name);
                             });
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto status = response::ReadStatusLine(TakeLine(text));
  if (!IsOk(status)) {
    return 0;
  }
  response::ResponseHead head(ValueOf(status));
  HttpResponse passed_on{.status = ValueOf(status)};
  while (!text.empty()) {
    const auto field = response::ReadFieldLine(TakeLine(text));
    if (!IsOk(field)) {
      return 0;
    }
    head.OnField(ValueOf(field));
    passed_on.headers.Add(ValueOf(field).name, ValueOf(field).value);
  }
  passed_on.headers =
      medlarcroft::adapters::WithoutHopByHopHeaders(passed_on.headers);
  if (!head.Fault() && !IsReadBack(passed_on)) {
    std::abort();
  }
  return 0;
}
