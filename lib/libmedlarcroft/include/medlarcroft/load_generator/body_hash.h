#ifndef MEDLARCROFT_LOAD_GENERATOR_BODY_HASH_H_
#define MEDLARCROFT_LOAD_GENERATOR_BODY_HASH_H_

#include <string>
#include <string_view>

namespace medlarcroft::load_generator {

/// @return the XXH3 hash of `body` as 16 hexadecimal digits. Stand-in targets
/// echo it and the load generator compares it to detect responses that belong
/// to another request.
[[nodiscard]] std::string HashBody(std::string_view body);

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_BODY_HASH_H_
