#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/event/event_http_client.h"
#include "adapters/event/http_serialization.h"
#include "adapters/process/system_clock.h"
#include "fakes/scripted_server.h"

namespace medlarcroft::adapters {
namespace {

using fakes::ScriptedConnection;
using fakes::ScriptedServer;
using request_path::ResponseName;
using std::chrono::milliseconds;

constexpr std::string_view kUnnamed =
    "HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nbusy";
constexpr std::string_view kUnnamedLast =
    "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy";

std::string NamedOk(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string Refusal(const std::string& id) {
  return "HTTP/1.1 503 No\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

/// @brief Two requests, "a" and "b", one after the other; the server answers
/// each on whatever connection it comes.
struct TwoRequestsCase {
  std::string name;
  std::string to_first;
  std::string to_second;
  Duration patience{0};
  std::optional<int> status;  ///< Of the second response; nullopt: it fails.
  int connections = 1;
};

class TwoRequestsTable : public testing::TestWithParam<TwoRequestsCase> {
 protected:
  OutboundRequest MakeRequest(const std::string& address,
                              const std::string& id) const {
    OutboundRequest request;
    request.address = address;
    request.text = FormatRequest("POST", "/", {{"Host", "h"}, {"Id", id}}, "");
    request.id = id;
    request.unnamed_patience = GetParam().patience;
    request.identify = [id](const HttpResponse& response) {
      const auto named = response.headers.Find("Id");
      if (!named) {
        return ResponseName::kUnnamed;
      }
      return *named == id ? ResponseName::kOwn : ResponseName::kOther;
    };
    return request;
  }

  SystemClock clock_;
  EventLoop loop_{clock_};
  EventHttpClient client_{loop_, {}};
};

// Guards against a response without an ID that is taken for the one to a
// request, although it may be a late one to the request before.
TEST_P(TwoRequestsTable, TheSecondGetsItsOwnResponseOrNone) {
  std::atomic<int> requests = 0;
  ScriptedServer server([&](ScriptedConnection& connection, int) {
    while (!connection.ReadHead().empty()) {
      connection.Write(++requests == 1 ? GetParam().to_first
                                       : GetParam().to_second);
    }
  });
  std::optional<ExchangeResult> second;
  client_.Send(MakeRequest(server.Address(), "a"), [&](const ExchangeResult&) {
    client_.Send(MakeRequest(server.Address(), "b"),
                 [&](ExchangeResult result) {
                   second = std::move(result);
                   loop_.Finish(0);
                 });
  });
  loop_.Run();
  client_.CloseIdleConnections(server.Address());
  ASSERT_EQ(IsOk(*second), GetParam().status.has_value());
  if (IsOk(*second)) {
    EXPECT_EQ(ValueOf(*second).status, *GetParam().status);
  } else {
    EXPECT_EQ(ErrorOf(*second).failure, ExchangeFailure::kUnattributed);
    EXPECT_EQ(ErrorOf(*second).status, 503);
    EXPECT_FALSE(ErrorOf(*second).is_proved_unsent);
  }
  EXPECT_EQ(server.Connections(), GetParam().connections);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    TwoRequestsTable,
    testing::Values(
        TwoRequestsCase{"RefusedOnAReusedConnection", NamedOk("a"),
                        std::string(kUnnamed)},
        TwoRequestsCase{"RefusedAfterAnUnnamedRefusal", std::string(kUnnamed),
                        std::string(kUnnamed), Duration(0), 503, 2},
        TwoRequestsCase{"ServedAfterAnUnnamedRefusal", std::string(kUnnamed),
                        NamedOk("b"), Duration(0), 200, 2},
        TwoRequestsCase{"RightOneFollows", NamedOk("a"),
                        std::string(kUnnamed) + NamedOk("b"), milliseconds(500),
                        200},
        TwoRequestsCase{"RightOneDoesNotFollow", NamedOk("a"),
                        std::string(kUnnamed), milliseconds(30)},
        TwoRequestsCase{"RightOneCanNotFollow", NamedOk("a"),
                        std::string(kUnnamedLast), std::chrono::seconds(60)},
        TwoRequestsCase{"CopyOfANamedRefusal", Refusal("a"),
                        Refusal("a") + NamedOk("b"), Duration(0), 200}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a new connection for each call to a server that fails some and
// names none, such as the store.
TEST(UnidentifiedResponseTest, AConnectionIsReusedAfterAFailure) {
  std::atomic<int> requests = 0;
  ScriptedServer server([&](ScriptedConnection& connection, int) {
    while (!connection.ReadHead().empty()) {
      connection.Write(kUnnamed);
      ++requests;
    }
  });
  SystemClock clock;
  EventLoop loop(clock);
  EventHttpClient client(loop, {});
  std::function<void()> call = [&] {
    client.Send({.address = server.Address(),
                 .text = FormatRequest("GET", "/", {{"Host", "h"}}, "")},
                [&](const ExchangeResult&) {
                  if (requests < 5) {
                    call();
                  } else {
                    loop.Finish(0);
                  }
                });
  };
  call();
  loop.Run();
  client.CloseIdleConnections(server.Address());
  EXPECT_EQ(server.Connections(), 1);
}

}  // namespace
}  // namespace medlarcroft::adapters
