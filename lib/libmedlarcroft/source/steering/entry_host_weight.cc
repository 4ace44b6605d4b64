#include "entry_host_weight.h"

#include <algorithm>

namespace medlarcroft::steering {

namespace {

/// Weight of a slot on a full host; on an idle host it is 1, so the ratio is at
/// most 1:4.
constexpr double kFullHostWeight = 0.25;

double WeightOf(const EntryHost& host, const ServiceName& service) {
  const ServiceLoad* load = FindLoad(host.loads, service);
  if (load == nullptr || load->usable_slots <= 0.0) {
    return 1.0;
  }

  const double used = (load->outstanding + load->queued) / load->usable_slots;
  const double free = std::clamp(1.0 - used, 0.0, 1.0);
  return load->usable_slots *
         (kFullHostWeight + (1.0 - kFullHostWeight) * free);
}

}  // namespace

const ServiceLoad* FindLoad(std::span<const ServiceLoad> loads,
                            const ServiceName& service) {
  for (const ServiceLoad& load : loads) {
    if (load.service == service) {
      return &load;
    }
  }
  return nullptr;
}

std::vector<double> CumulativeWeights(std::span<const EntryHost* const> hosts,
                                      const ServiceName& service) {
  std::vector<double> running;
  double sum = 0.0;
  for (const EntryHost* host : hosts) {
    sum += WeightOf(*host, service);
    running.push_back(sum);
  }
  return running;
}

bool IsServing(const EntryHost& host) {
  return host.phase == EntryHostPhase::kReady &&
         host.liveness == EntryHostLiveness::kAlive;
}

}  // namespace medlarcroft::steering
