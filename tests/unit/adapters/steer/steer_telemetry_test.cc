#include "adapters/steer/steer_telemetry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"

namespace medlarcroft::adapters {
namespace {

using testing::HasSubstr;
using testing::Not;

class SteerTelemetryTest : public testing::Test {
 protected:
  fakes::ManualClock clock_;
  fakes::SeededRandom random_{1};
  SteerCore core_{{.host = HostName("a-1"),
                   .failure_domain = FailureDomainName("a"),
                   .lookup_address = "127.0.0.1:1",
                   .peer_address = "127.0.0.1:2",
                   .entry_address = "127.0.0.1:3"},
                  clock_,
                  random_};
  catalogue::CatalogueReplica replica_{{}, clock_};
  catalogue::PlatformRateLimiter budget_{{}, clock_};
  ExchangeCounters exchanges_;
  HttpServerCounters listener_;
  SteerTelemetry telemetry_{{.core = core_,
                             .replica = replica_,
                             .budget = budget_,
                             .exchanges = exchanges_}};
};

TEST_F(SteerTelemetryTest, CountsLookupsByOutcomeAndRule) {
  const ServiceName desk("desk");
  telemetry_.CountLookup(desk, steering::LookupRule::kHome);
  telemetry_.CountLookup(desk, steering::LookupRule::kHome);
  telemetry_.CountLookup(steering::LookupError::kUnknownService);
  telemetry_.CountMalformedLookup();
  telemetry_.RecordLookup(std::chrono::microseconds(50));

  const std::string page = telemetry_.FormatPrometheus();
  const std::string rule(steering::ToString(steering::LookupRule::kHome));
  EXPECT_THAT(page, HasSubstr("medlar_lookups_total{service=\"desk\","
                              "outcome=\"answered\",rule=\"" +
                              rule + "\"} 2"));
  const std::string error(
      steering::ToString(steering::LookupError::kUnknownService));
  EXPECT_THAT(page, HasSubstr("{outcome=\"" + error + "\"} 1"));
  EXPECT_THAT(page, HasSubstr("{outcome=\"malformed\"} 1"));
  EXPECT_THAT(page, HasSubstr("medlar_lookup_seconds_count 1"));
}

TEST_F(SteerTelemetryTest, RefreshesExternalCountersAtEachScrape) {
  exchanges_.failed = 3;
  exchanges_.bytes.sent = 900;
  static_cast<void>(budget_.TryAcquireRead());
  budget_.RecordOutcome(true);
  replica_.NoteRevision(9, catalogue::RevisionSource::kPeer);
  listener_.client_errors = 2;
  telemetry_.WatchListener(listener_);

  const std::string first = telemetry_.FormatPrometheus();
  for (const char* line :
       {"medlar_exchanges_total{end=\"failed\"} 3",
        "medlar_exchange_bytes_total{direction=\"sent\"} 900",
        "medlar_platform_calls_total{kind=\"read\"} 1",
        "medlar_platform_reachable 1",
        "medlar_catalogue_highest_seen_revision 9",
        "medlar_http_client_errors_total 2"}) {
    EXPECT_THAT(first, HasSubstr(line));
  }

  exchanges_.failed = 4;
  EXPECT_THAT(telemetry_.FormatPrometheus(),
              HasSubstr("medlar_exchanges_total{end=\"failed\"} 4"));
}

// Operators set alerts on the age of the host list. Before the first read the
// metric must be absent: a value of 0 would mean a fresh list.
TEST_F(SteerTelemetryTest, OmitsHostListAgeBeforeFirstRead) {
  EXPECT_THAT(telemetry_.FormatPrometheus(),
              Not(HasSubstr("medlar_host_list_age_seconds ")));

  core_.ApplyHostList({});
  clock_.Advance(std::chrono::seconds(12));
  EXPECT_THAT(telemetry_.FormatPrometheus(),
              HasSubstr("medlar_host_list_age_seconds 12"));
}

}  // namespace
}  // namespace medlarcroft::adapters
