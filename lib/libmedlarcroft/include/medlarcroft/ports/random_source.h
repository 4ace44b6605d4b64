#ifndef MEDLARCROFT_PORTS_RANDOM_SOURCE_H_
#define MEDLARCROFT_PORTS_RANDOM_SOURCE_H_

#include <cstdint>

namespace medlarcroft::ports {

/// @brief Source of random numbers; tests inject a seeded one.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// @return 64 uniformly distributed bits.
  [[nodiscard]] virtual std::uint64_t Next() = 0;

  /// @return a uniformly distributed number below `bound`, which must not be 0.
  /// The bias of the multiply-shift reduction is below 2^-32 for the small
  /// bounds used here.
  [[nodiscard]] std::uint64_t NextBelow(std::uint64_t bound) {
    // __extension__ silences -Wpedantic: the 128-bit type is not standard.
    __extension__ using Wide = unsigned __int128;
    return static_cast<std::uint64_t>((static_cast<Wide>(Next()) * bound) >>
                                      64U);
  }

  /// @return a uniformly distributed number in [0, 1).
  [[nodiscard]] double NextUnit() {
    return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
  }
};

}  // namespace medlarcroft::ports

#endif  // MEDLARCROFT_PORTS_RANDOM_SOURCE_H_
