#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SYSTEM_RANDOM_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SYSTEM_RANDOM_H_

#include <random>

#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::adapters {

/// @brief Pseudo-random numbers seeded once from `std::random_device`, for load
/// distribution; not cryptographically secure. Not thread-safe.
class SystemRandom final : public ports::RandomSource {
 public:
  SystemRandom() : engine_(Seed()) {}
  [[nodiscard]] std::uint64_t Next() override { return engine_(); }

 private:
  static std::uint64_t Seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
  }

  std::mt19937_64 engine_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SYSTEM_RANDOM_H_
