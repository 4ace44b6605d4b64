// Another host's request to send to a target, and a helper's response: each
// line is a header field, and what follows an empty line is the body. Any input
// is decoded or rejected.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

#include "adapters/forward/relay_protocol.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string_view text(reinterpret_cast<const char*>(data), size);
  medlarcroft::adapters::HttpRequest request;
  while (!text.empty() && text.front() != '\n') {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const std::size_t colon = std::min(line.find(':'), line.size());
    request.headers.Add(line.substr(0, colon),
                        line.substr(std::min(colon + 1, line.size())));
  }
  request.body = text;
  medlarcroft::adapters::HttpResponse response{.headers = request.headers};
  static_cast<void>(medlarcroft::adapters::DecodeRelayResponse(response));
  const auto relay =
      medlarcroft::adapters::DecodeRelayRequest(std::move(request));
  if (relay) {
    static_cast<void>(
        medlarcroft::adapters::EncodeRelayRequest(*relay, "127.0.0.1:80"));
  }
  return 0;
}
