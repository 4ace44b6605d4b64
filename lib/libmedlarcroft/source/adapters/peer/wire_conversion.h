#ifndef MEDLARCROFT_ADAPTERS_PEER_WIRE_CONVERSION_H_
#define MEDLARCROFT_ADAPTERS_PEER_WIRE_CONVERSION_H_

#include "gen-cpp/medlarcroft_types.h"
#include "medlarcroft/membership/exchange.h"
#include "medlarcroft/membership/host_state.h"

/// @file
/// @brief Conversion between the messages of the peer protocol and the types of
/// the library. Negative numbers from a faulty peer become 0.

namespace medlarcroft::adapters {

[[nodiscard]] wire::ServiceLoad ToWire(const membership::ServiceLoad& load);
[[nodiscard]] membership::ServiceLoad FromWire(const wire::ServiceLoad& load);

[[nodiscard]] wire::HostState ToWire(const membership::HostState& state);
[[nodiscard]] membership::HostState FromWire(const wire::HostState& state);

[[nodiscard]] wire::TargetObservation ToWire(
    const membership::TargetObservation& observation);
[[nodiscard]] membership::TargetObservation FromWire(
    const wire::TargetObservation& observation);

[[nodiscard]] wire::Exchange ToWire(const membership::ExchangeContent& content,
                                    std::uint64_t catalogue_revision);
[[nodiscard]] membership::ExchangeContent FromWire(
    const wire::Exchange& exchange);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_WIRE_CONVERSION_H_
