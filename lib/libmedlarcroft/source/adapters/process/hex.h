#ifndef MEDLARCROFT_ADAPTERS_PROCESS_HEX_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_HEX_H_

#include <optional>
#include <string>
#include <string_view>

namespace medlarcroft::adapters {

/// @return the bytes encoded by `text`, or nullopt when `text` does not consist
/// of pairs of hexadecimal digits.
[[nodiscard]] std::optional<std::string> DecodeHex(std::string_view text);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_HEX_H_
