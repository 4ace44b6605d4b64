#ifndef MEDLARCROFT_ADAPTERS_PROCESS_VERSION_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_VERSION_H_

#include <string_view>

namespace medlarcroft::adapters {

/// Version of the project; a test compares it with CMakeLists.txt.
constexpr std::string_view kVersion = "0.1.0";

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_VERSION_H_
