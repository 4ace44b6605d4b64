#ifndef MEDLARCROFT_TESTS_FAKES_SEEDED_RANDOM_H_
#define MEDLARCROFT_TESTS_FAKES_SEEDED_RANDOM_H_

#include <random>

#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::fakes {

/// @brief Returns the same numbers for the same seed on every platform.
class SeededRandom final : public ports::RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  [[nodiscard]] std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_SEEDED_RANDOM_H_
