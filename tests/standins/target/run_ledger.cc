#include "standins/target/run_ledger.h"

namespace medlarcroft::standins {

void RunLedger::RecordStart(const RunKey& key, std::uint64_t times) {
  const auto [found, is_new] = runs_.try_emplace(key);
  found->second.started += times;
  if (!is_new) {
    return;
  }

  order_.push_back(key);
  if (order_.size() > kMaxRuns) {
    runs_.erase(order_.front());
    order_.pop_front();
    dropped_++;
  }
}

void RunLedger::RecordCompletion(const RunKey& key) {
  const auto found = runs_.find(key);
  if (found != runs_.end()) {
    found->second.completed++;
  }
}

void RunLedger::RecordCancellation(const RunKey& key) {
  const auto found = runs_.find(key);
  if (found != runs_.end()) {
    found->second.cancelled++;
  }
}

}  // namespace medlarcroft::standins
