#ifndef MEDLARCROFT_ADAPTERS_PROCESS_DESCRIPTOR_LIMIT_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_DESCRIPTOR_LIMIT_H_

#include <cstddef>

namespace medlarcroft::adapters {

/// @param configured 0: not limited by the settings.
/// @return how many descriptors this process may have, by its settings and by
/// the system.
[[nodiscard]] std::size_t MaxDescriptors(std::size_t configured);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_DESCRIPTOR_LIMIT_H_
