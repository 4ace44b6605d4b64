#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/event/event_http_client.h"
#include "adapters/event/http_serialization.h"
#include "adapters/http/http_client.h"
#include "adapters/process/system_clock.h"
#include "fakes/broken_responses.h"
#include "fakes/scripted_server.h"

namespace medlarcroft::adapters {
namespace {

using fakes::BrokenResponses;
using fakes::ProperResponses;
using fakes::ScriptedConnection;
using fakes::ScriptedServer;
using fakes::SentResponse;

// Far beyond what loopback needs, far below the timeout of an exchange.
constexpr Duration kAtOnce = std::chrono::seconds(5);
constexpr Duration kTimeout = std::chrono::seconds(30);

/// @brief What a client made of what a server sent.
struct Taken {
  std::optional<std::string> body;  ///< nullopt: it is no response.
  bool is_malformed = false;
  /// A field that tells of the server was reported.
  bool is_told = false;
};

using Fetch = Taken (*)(const std::string& address);

Taken FetchWithLibcurl(const std::string& address) {
  HttpClient client({});
  ClientResult result = client.SendAndWait(
      {.url = "http://" + address + "/", .timeout = kTimeout});
  if (IsOk(result)) {
    return {.body = ValueOf(result).body,
            .is_told = ValueOf(result).headers.Find("Leaving").has_value()};
  }
  const TransportError& error = ErrorOf(result);
  return {.is_malformed = error.failure != TransportFailure::kTimedOut,
          .is_told = error.status != 0 || !error.headers.Fields().empty()};
}

Taken FetchOnEventLoop(const std::string& address) {
  const SystemClock clock;
  EventLoop loop(clock);
  EventHttpClient client(loop, {});
  Taken taken;
  OutboundRequest request;
  request.address = address;
  request.text = FormatRequest("GET", "/", {{"Host", address}}, "");
  request.timeout = kTimeout;
  request.on_head = [&](const HttpResponse& head) {
    taken.is_told |= head.headers.Find("Leaving").has_value();
  };
  client.Send(std::move(request), [&](const ExchangeResult& result) {
    if (IsOk(result)) {
      taken.body = ValueOf(result).body;
    } else {
      taken.is_malformed =
          ErrorOf(result).failure == ExchangeFailure::kMalformed;
    }
    loop.Finish(0);
  });
  loop.Run();
  return taken;
}

struct ReaderCase {
  std::string name;
  Fetch fetch;
  SentResponse sent;
};

std::vector<ReaderCase> CasesOf(const std::vector<SentResponse>& responses) {
  std::vector<ReaderCase> cases;
  for (const SentResponse& sent : responses) {
    cases.push_back({"libcurl_" + sent.name, &FetchWithLibcurl, sent});
    cases.push_back({"event_loop_" + sent.name, &FetchOnEventLoop, sent});
  }
  return cases;
}

class BrokenResponseTable : public testing::TestWithParam<ReaderCase> {};

// Guards against bytes that are no response and reach callers as one, and
// against waiting for the rest of what is known to be none.
TEST_P(BrokenResponseTable, IsAFailureAtOnce) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().sent.bytes);
    connection.WaitForClose();
  });
  const SystemClock clock;
  const MonotonicTime before = clock.Now();
  const Taken taken = GetParam().fetch(server.Address());

  EXPECT_EQ(taken.body, std::nullopt);
  EXPECT_TRUE(taken.is_malformed);
  EXPECT_LT(clock.Now() - before, kAtOnce);
}

// Guards against the raw bytes of a body whose end nobody knows: the end of the
// connection makes them look whole.
TEST_P(BrokenResponseTable, IsAFailureWhenTheConnectionEnds) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().sent.bytes);
  });
  EXPECT_EQ(GetParam().fetch(server.Address()).body, std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(All,
                         BrokenResponseTable,
                         testing::ValuesIn(CasesOf(BrokenResponses())),
                         [](const auto& tested) { return tested.param.name; });

class BrokenHeadTable : public testing::TestWithParam<ReaderCase> {};

// Guards against targets that are avoided, or not, by the word of a head that
// is none.
TEST_P(BrokenHeadTable, SaysNothingOfTheServer) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().sent.bytes);
  });
  EXPECT_FALSE(GetParam().fetch(server.Address()).is_told);
}

/// @return those that are broken in their last head.
std::vector<SentResponse> BrokenHeads() {
  std::vector<SentResponse> heads = BrokenResponses("Leaving: 1\r\n");
  std::erase_if(heads, [](const SentResponse& sent) {
    return sent.name.starts_with("chunk_");
  });
  return heads;
}

INSTANTIATE_TEST_SUITE_P(All,
                         BrokenHeadTable,
                         testing::ValuesIn(CasesOf(BrokenHeads())),
                         [](const auto& tested) { return tested.param.name; });

class ProperResponseTable : public testing::TestWithParam<ReaderCase> {};

// Guards against refusing what is only odd.
TEST_P(ProperResponseTable, IsTakenWhole) {
  ScriptedServer server([](ScriptedConnection& connection, int) {
    connection.ReadHead();
    connection.Write(GetParam().sent.bytes);
    connection.WaitForClose();
  });
  EXPECT_EQ(GetParam().fetch(server.Address()).body, "hello");
}

INSTANTIATE_TEST_SUITE_P(All,
                         ProperResponseTable,
                         testing::ValuesIn(CasesOf(ProperResponses())),
                         [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace medlarcroft::adapters
