#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/event/event_http_client.h"
#include "adapters/event/http_serialization.h"
#include "adapters/http/http_client.h"
#include "adapters/process/system_clock.h"
#include "fakes/scripted_server.h"

namespace medlarcroft::adapters {
namespace {

using fakes::ScriptedConnection;
using fakes::ScriptedServer;

/// @return the status of the response; nullopt: there is none.
using Fetch = std::optional<int> (*)(const std::string& address,
                                     const std::string& method);

std::optional<int> FetchWithLibcurl(const std::string& address,
                                    const std::string& method) {
  HttpClient client({});
  const ClientResult result =
      client.SendAndWait({.method = method, .url = "http://" + address + "/"});
  return IsOk(result) ? std::optional(ValueOf(result).status) : std::nullopt;
}

std::optional<int> FetchOnEventLoop(const std::string& address,
                                    const std::string& method) {
  const SystemClock clock;
  EventLoop loop(clock);
  EventHttpClient client(loop, {});
  OutboundRequest request;
  request.address = address;
  request.text = FormatRequest(method, "/", {{"Host", address}}, "");
  request.is_head_request = method == "HEAD";
  std::optional<int> status;
  client.Send(std::move(request), [&](const ExchangeResult& result) {
    if (IsOk(result)) {
      status = ValueOf(result).status;
    }
    loop.Finish(0);
  });
  loop.Run();
  return status;
}

struct StopCase {
  std::string name;
  Fetch fetch;
  std::string method;
  std::string response;
  bool is_reset = false;
  std::size_t checked = 0;  ///< Shorter beginnings must be no response.
};

class StoppedHeadTable : public testing::TestWithParam<StopCase> {};

// Guards against a head that ends anywhere and is taken for a whole response.
TEST_P(StoppedHeadTable, IsNoResponse) {
  const std::string& response = GetParam().response;
  for (std::size_t length = 0; length < GetParam().checked; ++length) {
    ScriptedServer server([&](ScriptedConnection& connection, int) {
      connection.ReadHead();
      connection.Write(response.substr(0, length));
      if (GetParam().is_reset) {
        connection.Reset();
      }
    });
    EXPECT_EQ(GetParam().fetch(server.Address(), GetParam().method),
              std::nullopt)
        << length << " bytes of the response";
  }
}

constexpr std::string_view kEmpty =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSeal: a\r\n\r\n";
constexpr std::string_view kWithBody =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSeal: a\r\n\r\nok";
constexpr std::string_view kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSeal: a\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n";
constexpr std::string_view kHead =
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nSeal: a\r\n\r\n";
constexpr std::string_view kNoContent =
    "HTTP/1.1 204 No Content\r\nSeal: a\r\n\r\n";
constexpr std::string_view kAfterInterim =
    "HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

std::vector<StopCase> AllCases() {
  const std::pair<std::string, Fetch> clients[] = {
      {"Libcurl", &FetchWithLibcurl}, {"EventLoop", &FetchOnEventLoop}};
  const std::pair<std::string, std::string_view> responses[] = {
      {"Empty", kEmpty},
      {"WithBody", kWithBody},
      {"Chunked", kChunked},
      {"NoContent", kNoContent},
      {"AfterInterim", kAfterInterim}};
  std::vector<StopCase> cases;
  for (const auto& [client, fetch] : clients) {
    for (const auto& [name, response] : responses) {
      // The last chunk has ended the body; a line feed more says nothing.
      const std::size_t checked =
          response.size() - (response == kChunked ? 1 : 0);
      for (const bool is_reset : {false, true}) {
        cases.push_back({client + name + (is_reset ? "Reset" : "Close"), fetch,
                         "GET", std::string(response), is_reset, checked});
      }
    }
    cases.push_back({client + "Head", fetch, "HEAD", std::string(kHead), false,
                     kHead.size()});
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(All,
                         StoppedHeadTable,
                         testing::ValuesIn(AllCases()),
                         [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace medlarcroft::adapters
