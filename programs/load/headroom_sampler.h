#ifndef MEDLARCROFT_PROGRAMS_LOAD_HEADROOM_SAMPLER_H_
#define MEDLARCROFT_PROGRAMS_LOAD_HEADROOM_SAMPLER_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "medlarcroft/core/time.h"

namespace medlarcroft::load {

/// @brief One measurement of the targets' free slots.
struct HeadroomSample {
  Duration at{0};  ///< From the start of the run.
  double headroom = 0;
};

/// @brief Samples the targets' load once a second on a thread of its own, so
/// that a slow target never delays a request of the run.
class HeadroomSampler {
 public:
  HeadroomSampler(std::vector<std::string> target_urls, MonotonicTime start);
  ~HeadroomSampler();
  HeadroomSampler(const HeadroomSampler&) = delete;
  HeadroomSampler& operator=(const HeadroomSampler&) = delete;

  /// @brief Stops sampling.
  /// @return all samples in order of time.
  std::vector<HeadroomSample> Stop();

 private:
  void Run();

  const std::vector<std::string> target_urls_;
  const MonotonicTime start_;
  std::mutex mutex_;
  std::condition_variable condition_;
  bool is_stopping_ = false;
  std::vector<HeadroomSample> samples_;
  std::thread thread_;
};

}  // namespace medlarcroft::load

#endif  // MEDLARCROFT_PROGRAMS_LOAD_HEADROOM_SAMPLER_H_
