#include "medlarcroft/membership/host_state.h"

namespace medlarcroft::membership {

namespace {

// Compact protocol: one byte of field header, a string's length in one or two
// bytes, numbers in 7-bit groups after a zigzag encoding that doubles them,
// doubles in 8 bytes, one byte at the end of a structure. The bounds are for
// 64-bit numbers below 2^55 and 32-bit ones below 2^27.
constexpr std::size_t kHeader = 1;
constexpr std::size_t kStructEnd = 1;
constexpr std::size_t kStringLength = 2;
constexpr std::size_t kListHeader = 3;
constexpr std::size_t kNumber64 = 8;
constexpr std::size_t kNumber32 = 4;
constexpr std::size_t kDouble = 8;

std::size_t StringField(const std::string& text) {
  return kHeader + kStringLength + text.size();
}

std::size_t LoadsField(const std::vector<ServiceLoad>& loads) {
  std::size_t bytes = kHeader + kListHeader;
  for (const ServiceLoad& load : loads) {
    bytes += StringField(load.service.Value()) + (3 * (kHeader + kDouble)) +
             (3 * (kHeader + kNumber32)) + kStructEnd;
  }
  return bytes;
}

}  // namespace

std::size_t WireBytes(const HostState& state) {
  std::size_t bytes =
      StringField(state.host.Value()) +
      StringField(state.failure_domain.Value()) + (3 * (kHeader + kNumber64)) +
      (2 * (kHeader + kNumber32)) + StringField(state.lookup_address) +
      StringField(state.entry_address) + StringField(state.peer_address) +
      StringField(state.share_address) + LoadsField(state.loads) + kHeader +
      kListHeader + kStructEnd;
  for (const auto& [domain, seat] : state.seats) {
    bytes += kStringLength + domain.Value().size() + kNumber32;
  }
  return bytes;
}

std::size_t WireBytes(const DomainSummary& summary) {
  return StringField(summary.failure_domain.Value()) +
         StringField(summary.reporter.Value()) + (3 * (kHeader + kNumber64)) +
         LoadsField(summary.loads) + (2 * (kHeader + kNumber32)) + kStructEnd;
}

std::size_t WireBytes(const TargetObservation& observation) {
  return StringField(observation.target.Value()) +
         StringField(observation.observer.Value()) + kHeader + kNumber64 +
         (2 * kHeader) + (2 * (kHeader + kNumber32)) + kHeader + kDouble +
         kStructEnd;
}

}  // namespace medlarcroft::membership
