#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/console/steerd_client.h"
#include "adapters/event/event_http_client.h"
#include "adapters/forward/relay_sender.h"
#include "adapters/load/http_load_transport.h"
#include "adapters/load/target_probe.h"
#include "adapters/platform/http_platform.h"
#include "adapters/process/system_clock.h"
#include "fakes/broken_responses.h"
#include "fakes/scripted_server.h"
#include "fakes/seeded_random.h"
#include "platform/mirror_handler.h"
#include "platform/store_client.h"

namespace medlarcroft::adapters {
namespace {

using fakes::ScriptedConnection;
using fakes::ScriptedServer;
using fakes::SentResponse;

/// @return whether what the server sent was taken for an answer.
using Read = bool (*)(const std::string& address);

struct Reader {
  std::string name;
  Read read;
  /// Of a proper answer; each with its line end.
  std::string fields;
  std::string body;
};

bool ReadFromStore(const std::string& address) {
  const SystemClock clock;
  EventLoop loop(clock);
  telemetry::MetricsRegistry metrics;
  platform::StoreClient store(loop, {.address = address}, metrics);
  bool is_taken = false;
  store.List("servers", "", [&](const auto& rows) {
    is_taken = IsOk(rows);
    loop.Finish(0);
  });
  loop.Run();
  return is_taken;
}

bool WriteToStore(const std::string& address) {
  const SystemClock clock;
  EventLoop loop(clock);
  telemetry::MetricsRegistry metrics;
  platform::StoreClient store(loop, {.address = address}, metrics);
  bool is_taken = false;
  store.Write({.table = "status", .key = "k", .value = "v"},
              [&](const auto& written) {
                is_taken = IsOk(written);
                loop.Finish(0);
              });
  loop.Run();
  return is_taken;
}

bool ReadFromMirror(const std::string& address) {
  const SystemClock clock;
  EventLoop loop(clock);
  EventHttpClient client(loop, {});
  bool is_taken = false;
  platform::FetchRowsFromPeer(
      client, address,
      {.table = "servers", .answer_margin = std::chrono::seconds(30)},
      [&](const auto& rows) {
        is_taken = IsOk(rows);
        loop.Finish(0);
      });
  loop.Run();
  return is_taken;
}

bool SendThroughHelper(const std::string& address) {
  const SystemClock clock;
  EventLoop loop(clock);
  EventHttpClient client(loop, {});
  fakes::SeededRandom random(1);
  telemetry::MetricsRegistry metrics;
  RelaySender sender({.loop = loop,
                      .caller = client,
                      .random = random,
                      .metrics = metrics,
                      .find_helpers = [&](const RegionName&) {
                        return std::vector<RelayHelper>{
                            {HostName("1"), FailureDomainName("d"), address}};
                      }});
  // What a helper says of the end of a send, or of the target, counts as well.
  bool is_taken = false;
  sender.Send({.id = "1",
               .target = {TargetName("t")},
               .time_left = std::chrono::seconds(30)},
              {RegionName("r")},
              {.encode = [](Duration) { return std::string("GET /"); },
               .cancel_if_unwanted = [] { return false; },
               .on_notice = [&](const auto&) { is_taken = true; },
               .on_end =
                   [&](const RelayResult& result) {
                     is_taken |= result.is_stated;
                     loop.Finish(0);
                   }});
  loop.Run();
  return is_taken;
}

bool ReadFromPlatform(const std::string& address) {
  HttpPlatform platform(
      {.base_url = "http://" + address, .timeout = std::chrono::seconds(30)});
  return IsOk(platform.Read("k"));
}

bool ReadObject(const std::string& address) {
  HttpPlatform platform(
      {.base_url = "http://" + address, .timeout = std::chrono::seconds(30)});
  return IsOk(platform.Get("k"));
}

bool AskSteerd(const std::string& address) {
  SteerdClient client({.urls = {"http://" + address},
                       .read_timeout = std::chrono::seconds(30)});
  return IsOk(client.Send("GET", "/status", {}, ""));
}

bool MeasureHeadroom(const std::string& address) {
  HttpClient client({});
  return TargetProbe(client, {"http://" + address})
      .MeasureHeadroom()
      .has_value();
}

bool SendAsLoad(const std::string& address) {
  HttpClient client({});
  HttpLoadTransport transport(client);
  transport.Send({.method = "GET",
                  .url = "http://" + address + "/",
                  .timeout = std::chrono::seconds(30)});
  const auto results =
      transport.Wait(SystemClock().Now() + std::chrono::seconds(30));
  return !results.empty() && !results.front().result.failure;
}

const std::string kRows =
    R"({"rows":[],"has_more":false,"schema_version":1,"is_full":true})";
const std::string kRow = R"({"key":"k","version":1,"value":"v"})";
const std::string kLoad = R"({"slots":3,"outstanding":1})";

std::vector<Reader> Readers() {
  return {
      {"store", &ReadFromStore, "", kRows},
      {"store_write", &WriteToStore, "", kRows},
      {"mirror", &ReadFromMirror, "", kRows},
      {"relay", &SendThroughHelper,
       "Medlar-Relay-End: answered\r\nMedlar-Relay-Target-Leaving: 1\r\n",
       "hello"},
      {"platform", &ReadFromPlatform, "", kRow},
      {"platform_object", &ReadObject, "", "hello"},
      {"console", &AskSteerd, "", "{}"},
      {"load_probe", &MeasureHeadroom, "", kLoad},
      {"load", &SendAsLoad, "", "hello"},
  };
}

class ReaderTable : public testing::TestWithParam<Reader> {
 protected:
  static bool IsTaken(const SentResponse& sent) {
    ScriptedServer server([&](ScriptedConnection& connection, int) {
      connection.ReadHead();
      connection.Write(sent.bytes);
    });
    return GetParam().read(server.Address());
  }
};

// Guards against a reader that acts on bytes that are no answer: rows, loads,
// ends of sends, and answers of callers come from nowhere else.
TEST_P(ReaderTable, TakesNothingThatIsNoAnswer) {
  for (const SentResponse& sent :
       fakes::BrokenResponses(GetParam().fields, GetParam().body)) {
    // The relay's head is proper: what it says of the target holds.
    const bool has_proper_head = sent.name.starts_with("chunk_");
    if (GetParam().name != "relay" || !has_proper_head) {
      EXPECT_FALSE(IsTaken(sent)) << sent.name;
    }
  }
}

// Guards against a table that passes since the reader refuses everything.
TEST_P(ReaderTable, TakesAProperAnswer) {
  for (const SentResponse& sent :
       fakes::ProperResponses(GetParam().fields, GetParam().body)) {
    // Most readers want 200.
    if (sent.name != "status_without_known_name") {
      EXPECT_TRUE(IsTaken(sent)) << sent.name;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         ReaderTable,
                         testing::ValuesIn(Readers()),
                         [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace medlarcroft::adapters
