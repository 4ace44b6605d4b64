#include "medlarcroft/membership/heartbeat.h"

#include <xxhash.h>

#include <algorithm>

#include "medlarcroft/core/little_endian.h"

namespace medlarcroft::membership {

namespace {

constexpr Duration kAgeUnit = std::chrono::milliseconds(100);
constexpr std::size_t kHostBytes = 4;
constexpr std::size_t kIncarnationBytes = 2;
constexpr std::size_t kSequenceBytes = 3;
constexpr std::size_t kMaxHeartbeats = 1024;

}  // namespace

std::uint32_t HashOf(const HostName& host) {
  return XXH32(host.Value().data(), host.Value().size(), 0);
}

std::uint16_t HashOf(std::uint64_t incarnation) {
  return static_cast<std::uint16_t>(
      XXH3_64bits(&incarnation, sizeof(incarnation)));
}

std::optional<Heartbeat> Aged(const Heartbeat& heartbeat, Duration later) {
  // Rounded up, so that a heartbeat's age never decreases when it is forwarded.
  const Duration known = std::max(heartbeat.age + later, Duration::zero());
  const Duration whole = (known + kAgeUnit - Duration(1)) / kAgeUnit * kAgeUnit;
  if (whole > kMaxHeartbeatAge) {
    return std::nullopt;
  }
  Heartbeat aged = heartbeat;
  aged.age = whole;
  return aged;
}

std::optional<Heartbeat> MakeHeartbeat(const HostName& host,
                                       const StateNumber& number,
                                       Duration age) {
  if (number.sequence > kMaxHeartbeatSequence) {
    return std::nullopt;
  }
  return Aged({.host_hash = HashOf(host),
               .incarnation_hash = HashOf(number.incarnation),
               .sequence = static_cast<std::uint32_t>(number.sequence)},
              age);
}

std::string EncodeHeartbeats(const std::vector<Heartbeat>& heartbeats) {
  std::string text;
  text.reserve(heartbeats.size() * kHeartbeatBytes);
  for (const Heartbeat& heartbeat : heartbeats) {
    AppendLittleEndian(text, heartbeat.host_hash, kHostBytes);
    AppendLittleEndian(text, heartbeat.incarnation_hash, kIncarnationBytes);
    AppendLittleEndian(text, heartbeat.sequence, kSequenceBytes);
    AppendLittleEndian(text,
                       static_cast<std::uint32_t>(heartbeat.age / kAgeUnit), 1);
  }
  return text;
}

std::optional<std::vector<Heartbeat>> DecodeHeartbeats(std::string_view bytes) {
  if (bytes.size() % kHeartbeatBytes != 0 ||
      bytes.size() > kMaxHeartbeats * kHeartbeatBytes) {
    return std::nullopt;
  }
  std::vector<Heartbeat> heartbeats;
  heartbeats.reserve(bytes.size() / kHeartbeatBytes);
  while (!bytes.empty()) {
    Heartbeat heartbeat;
    heartbeat.host_hash = TakeLittleEndian(bytes, kHostBytes);
    heartbeat.incarnation_hash =
        static_cast<std::uint16_t>(TakeLittleEndian(bytes, kIncarnationBytes));
    heartbeat.sequence = TakeLittleEndian(bytes, kSequenceBytes);
    heartbeat.age = kAgeUnit * TakeLittleEndian(bytes, 1);
    heartbeats.push_back(heartbeat);
  }
  return heartbeats;
}

}  // namespace medlarcroft::membership
