#ifndef MEDLARCROFT_LOAD_GENERATOR_LOAD_PLAN_H_
#define MEDLARCROFT_LOAD_GENERATOR_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "medlarcroft/core/time.h"

namespace medlarcroft::load_generator {

/// @brief Load on one service.
struct ClassLoad {
  std::string service;
  double rate = 10;  ///< Mean requests a second outside bursts.
  std::string method = "GET";
  std::uint32_t body_bytes = 0;
  Duration deadline = std::chrono::seconds(2);
  bool needs_key = false;  ///< Each request carries an idempotency key.
  /// Fraction of the unsuccessful attempts that the caller retries.
  double retry_ratio = 1.0;
  std::uint32_t max_attempts = 3;
  /// Limits for the verdict, as fractions of the intended requests.
  double max_late_ratio = 1.0;
  double max_refused_ratio = 1.0;
};

/// @brief Rate of a brand's requests relative to other brands.
struct BrandLoad {
  std::string brand;
  double weight = 1.0;
};

/// @brief A period of higher or lower request rate.
struct Burst {
  Duration at{0};  ///< From the start of the run.
  Duration duration = std::chrono::seconds(1);
  double factor = 2.0;  ///< Multiplies the rate; 0: no requests.
  std::string service;  ///< Empty: all services.
};

/// @brief Parameters of one run of the load generator.
struct LoadPlan {
  Duration duration = std::chrono::seconds(30);
  std::uint64_t seed = 1;
  std::vector<ClassLoad> classes;
  std::vector<BrandLoad> brands;
  /// Zipf exponent s: the weight of the n-th brand is divided by n^s. 0 leaves
  /// the weights unchanged, 1 halves that of the second brand.
  double brand_skew = 0.0;
  std::vector<Burst> bursts;
  /// Arrivals beyond this limit are counted as unsent. Bounds the memory of the
  /// load generator when no responses arrive.
  std::uint32_t max_in_flight = 10'000;
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_LOAD_PLAN_H_
