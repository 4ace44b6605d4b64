#include "medlarcroft/membership/host_state.h"

#include <gen-cpp/medlarcroft_constants.h>
#include <gen-cpp/medlarcroft_types.h>
#include <gtest/gtest.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

#include "medlarcroft/membership/heartbeat.h"

namespace medlarcroft::membership {
namespace {

template <typename Message>
std::size_t CompactBytes(const Message& message) {
  const auto buffer =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  message.write(&protocol);
  return buffer->available_read();
}

// The bandwidth limit of control traffic depends on this bound.
TEST(HostState, WireBytesBoundsTheGeneratedCode) {
  const std::uint64_t incarnation =
      FirstIncarnation(WallTime(std::chrono::hours(24 * 365 * 60)));
  const HostState state{
      .host = HostName("entry-host-12"),
      .failure_domain = FailureDomainName("kg-nyarugenge"),
      .number = {.incarnation = incarnation, .sequence = 12'000'000},
      .lookup_address = "10.12.34.56:18080",
      .peer_address = "10.12.34.56:18082",
      .catalogue_revision = 1'000'000,
      .loads = {{.service = ServiceName("swap-ledger"), .queued = 90'000}},
      .age = std::chrono::hours(10),
      .seats = {{FailureDomainName("kg-nyarugenge"), 51}}};
  wire::HostState message;
  message.host = state.host.Value();
  message.failure_domain = state.failure_domain.Value();
  message.incarnation = static_cast<std::int64_t>(incarnation);
  message.sequence = 12'000'000;
  message.phase = wire::g_medlarcroft_constants.PHASE_LEAVING;
  message.lookup_address = state.lookup_address;
  message.peer_address = state.peer_address;
  message.catalogue_revision = 1'000'000;
  message.loads.resize(1);
  message.loads[0].service_name = "swap-ledger";
  message.loads[0].queued = 90'000;
  message.age_ms = 36'000'000;
  message.seats["kg-nyarugenge"] = 51;
  EXPECT_GE(WireBytes(state), CompactBytes(message));
  EXPECT_LE(WireBytes(state), CompactBytes(message) + 60);
}

TEST(Heartbeat, IsDecodedAndItsAgeIsRoundedUp) {
  const StateNumber number{.incarnation = 7, .sequence = 300'000};
  const auto heartbeat =
      MakeHeartbeat(HostName("h"), number, std::chrono::milliseconds(1234));
  ASSERT_TRUE(heartbeat.has_value());
  EXPECT_EQ(heartbeat->age, std::chrono::milliseconds(1300));
  const std::string text = EncodeHeartbeats({*heartbeat, *heartbeat});
  EXPECT_EQ(text.size(), 2 * kHeartbeatBytes);
  const auto read = DecodeHeartbeats(text);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->at(1), *heartbeat);
  EXPECT_FALSE(DecodeHeartbeats(text.substr(1)).has_value());
  EXPECT_FALSE(MakeHeartbeat(HostName("h"), number, std::chrono::seconds(26)));
}

}  // namespace
}  // namespace medlarcroft::membership
