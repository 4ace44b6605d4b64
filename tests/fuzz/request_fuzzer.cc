// A caller's request: the first line is the request target, each further line a
// header field. Any input is parsed or rejected with a typed error.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

#include "adapters/entry/request_parser.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto take_line = [&text] {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return line;
  };

  medlarcroft::adapters::HttpRequest request;
  request.method = "POST";
  request.raw_target = take_line();
  while (!text.empty()) {
    const std::string_view line = take_line();
    const std::size_t colon = std::min(line.find(':'), line.size());
    request.headers.Add(line.substr(0, colon),
                        line.substr(std::min(colon + 1, line.size())));
  }
  static_cast<void>(
      medlarcroft::adapters::ParseServiceRequest(std::move(request)));
  return 0;
}
