#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>

#include "adapters/entry/attempt_result.h"
#include "adapters/entry/host_forwarder.h"
#include "adapters/entry/idempotency_guard.h"
#include "fakes/manual_clock.h"
#include "fakes/scripted_server.h"
#include "medlarcroft/decision/attempt_rules.h"

namespace medlarcroft::adapters {
namespace {

using decision::RunState;
using fakes::ScriptedConnection;

constexpr Duration kTimeout = std::chrono::seconds(10);
const std::string kId = "host-1-2-3";

/// @brief A peer that answers one request, runs the next one on the same
/// connection without a response, and refuses it on every further connection.
class ForgetfulPeer {
 public:
  [[nodiscard]] std::string Address() const { return server_.Address(); }
  [[nodiscard]] int Connections() const { return server_.Connections(); }

 private:
  static void Serve(ScriptedConnection& connection, int number) {
    connection.ReadHead();
    if (number > 1) {
      connection.Write(
          "HTTP/1.1 503 No\r\nMedlar-Target-Not-Run: 1\r\n"
          "Medlar-Outcome: not-run\r\nMedlar-Request-Id: " +
          kId + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    connection.ReadHead();
  }

  fakes::ScriptedServer server_{&Serve};
};

class ResentRequestTest : public testing::Test {
 protected:
  /// Leaves a connection behind on which the next request is sent first.
  void SetUp() override {
    ASSERT_TRUE(IsOk(client_.SendAndWait({.url = Url()})));
  }

  [[nodiscard]] std::string Url() const {
    return "http://" + peer_.Address() + "/";
  }

  RunState RunStateOf(ClientRequest request) {
    request.url = Url();
    request.timeout = kTimeout;
    const AttemptResult result =
        ClassifyAttempt(client_.SendAndWait(std::move(request)), kId);
    return decision::RulesFor(result.outcome).run_state;
  }

  ForgetfulPeer peer_;
  HttpClient client_{{}};
};

// Guards against requests that are told not to have run and have: libcurl sends
// a request again when a kept connection ends, and the refusal of the second
// send says nothing of the first.
TEST_F(ResentRequestTest, RefusalOfTheSecondSendProvesNothing) {
  EXPECT_EQ(RunStateOf({}), RunState::kUnknown);
  EXPECT_EQ(peer_.Connections(), 2);
}

// As above, if the target asks for rest between the two sends.
TEST_F(ResentRequestTest, WithheldSecondSendProvesNothing) {
  std::atomic<int> asked = 0;
  EXPECT_EQ(RunStateOf({.may_send = [&asked] { return ++asked == 1; }}),
            RunState::kUnknown);
  EXPECT_EQ(asked, 2);
}

// As above, from another entry host.
TEST_F(ResentRequestTest, RefusalByAnotherHostProvesNothing) {
  const fakes::ManualClock clock;
  const IdempotencyGuard keys({.host = HostName("host-1"),
                               .incarnation = 1,
                               .secrets = {.issuing = "0123456789abcdef"}},
                              clock);
  HostForwarder forwarder(HostName("host-1"), client_, keys, clock);
  ServiceRequest request;
  request.service = ServiceName("desk");
  request.brand = BrandName("brand");
  request.method = "GET";
  request.target_path = "/";
  std::promise<RequestResult> result;
  forwarder.Send(
      {.request = request,
       .address = peer_.Address(),
       .time_left = kTimeout,
       .max_answer_bytes = 1000,
       .is_idempotent = true},
      [&result](RequestResult ended) { result.set_value(std::move(ended)); });
  const RequestResult ended = result.get_future().get();

  EXPECT_EQ(ended.run_state, RunState::kUnknown);
  EXPECT_EQ(ended.response.headers.Find("Medlar-Outcome"), "unknown");
  EXPECT_EQ(peer_.Connections(), 2);
}

}  // namespace
}  // namespace medlarcroft::adapters
