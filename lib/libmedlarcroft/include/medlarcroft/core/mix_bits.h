#ifndef MEDLARCROFT_CORE_MIX_BITS_H_
#define MEDLARCROFT_CORE_MIX_BITS_H_

#include <cstdint>

namespace medlarcroft {

/// @brief The finalizer of SplitMix64: each bit of the result depends on every
/// bit of `number`.
[[nodiscard]] constexpr std::uint64_t MixBits(std::uint64_t number) {
  constexpr std::uint64_t kFirstFactor = 0xbf58476d1ce4e5b9U;
  constexpr std::uint64_t kSecondFactor = 0x94d049bb133111ebU;
  number = (number ^ (number >> 30U)) * kFirstFactor;
  number = (number ^ (number >> 27U)) * kSecondFactor;
  return number ^ (number >> 31U);
}

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_MIX_BITS_H_
