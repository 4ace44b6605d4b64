#ifndef MEDLARCROFT_ADAPTERS_PROCESS_MEMORY_RETURN_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_MEMORY_RETURN_H_

namespace medlarcroft::adapters {

/// @brief Makes large buffers return to the system when they are freed. To be
/// called once, before other threads start.
void ReturnLargeBuffersToSystem();

/// @brief Returns what small buffers have freed.
void ReturnFreeMemoryToSystem();

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_MEMORY_RETURN_H_
