#include "load/headroom_sampler.h"

#include <utility>

#include "adapters/http/http_client.h"
#include "adapters/load/target_probe.h"
#include "adapters/process/system_clock.h"

namespace medlarcroft::load {

HeadroomSampler::HeadroomSampler(std::vector<std::string> target_urls,
                                 MonotonicTime start)
    : target_urls_(std::move(target_urls)),
      start_(start),
      thread_([this] { Run(); }) {}

HeadroomSampler::~HeadroomSampler() {
  Stop();
}

std::vector<HeadroomSample> HeadroomSampler::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  condition_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
  return std::exchange(samples_, {});
}

void HeadroomSampler::Run() {
  const adapters::SystemClock clock;
  adapters::HttpClient client({});
  adapters::TargetProbe probe(client, target_urls_);
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    lock.unlock();
    const Duration at = clock.Now() - start_;
    const auto headroom = probe.MeasureHeadroom();
    lock.lock();
    if (headroom) {
      samples_.push_back({.at = at, .headroom = *headroom});
    }
    condition_.wait_for(lock, std::chrono::seconds(1),
                        [this] { return is_stopping_; });
  }
}

}  // namespace medlarcroft::load
