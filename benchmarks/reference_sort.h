#ifndef MEDLARCROFT_BENCHMARKS_REFERENCE_SORT_H_
#define MEDLARCROFT_BENCHMARKS_REFERENCE_SORT_H_

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

namespace medlarcroft::benchmarks {

/// @brief Sorts a thousand numbers: what this machine does in this run, so that
/// bounds can be ratios instead of times.
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
