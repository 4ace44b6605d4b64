#ifndef MEDLARCROFT_ADAPTERS_PLATFORM_CATALOGUE_WIRE_CONVERSION_H_
#define MEDLARCROFT_ADAPTERS_PLATFORM_CATALOGUE_WIRE_CONVERSION_H_

#include <optional>

#include "gen-cpp/medlarcroft_types.h"
#include "medlarcroft/catalogue/delta.h"

namespace medlarcroft::adapters {

/// @return the delta as a message of the peer protocol.
[[nodiscard]] wire::CatalogueDelta ToWire(const catalogue::Delta& delta);

/// @return the delta, or nullopt when a revision is negative or an entry name
/// is invalid.
[[nodiscard]] std::optional<catalogue::Delta> FromWire(
    const wire::CatalogueDelta& delta);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PLATFORM_CATALOGUE_WIRE_CONVERSION_H_
