#ifndef MEDLARCROFT_BENCHMARKS_REFERENCE_SORT_H_
#define MEDLARCROFT_BENCHMARKS_REFERENCE_SORT_H_

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

namespace medlarcroft::benchmarks {

/// @brief Sorts 1000 numbers as a reference for the speed of the computer in
/// the same run, so that bounds can be ratios instead of times.
inline void SortThousand(benchmark::State& state) {
  std::mt19937_64 engine(1);
  std::vector<std::uint64_t> numbers(1000);
  std::generate(numbers.begin(), numbers.end(), engine);

  for (auto iteration : state) {
    (void)iteration;
    std::vector<std::uint64_t> copy = numbers;
    std::sort(copy.begin(), copy.end());
    benchmark::DoNotOptimize(copy.data());
  }
}

BENCHMARK(SortThousand);

}  // namespace medlarcroft::benchmarks

#endif  // MEDLARCROFT_BENCHMARKS_REFERENCE_SORT_H_
