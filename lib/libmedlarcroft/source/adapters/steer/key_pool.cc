#include "adapters/steer/key_pool.h"

#include <algorithm>

namespace medlarcroft::adapters {

namespace {

void AddUpToCapacity(std::deque<std::string>& pool,
                     const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (pool.size() < KeyPool::kCapacity) {
      pool.push_back(key);
    }
  }
}

std::int32_t FreeCapacity(const std::deque<std::string>& pool) {
  return static_cast<std::int32_t>(KeyPool::kCapacity - pool.size());
}

}  // namespace

void KeyPool::Add(std::int64_t incarnation,
                  const std::vector<std::string>& local,
                  const std::vector<std::string>& durable) {
  const std::lock_guard lock(mutex_);
  if (incarnation != incarnation_) {
    incarnation_ = incarnation;
    local_.clear();
    durable_.clear();
  }
  AddUpToCapacity(local_, local);
  AddUpToCapacity(durable_, durable);
}

std::vector<std::string> KeyPool::Take(catalogue::KeyMode mode) {
  std::vector<std::string> keys;
  if (mode == catalogue::KeyMode::kNone) {
    return keys;
  }
  const std::lock_guard lock(mutex_);
  std::deque<std::string>& pool =
      mode == catalogue::KeyMode::kLocal ? local_ : durable_;
  while (keys.size() < kKeysPerAnswer && !pool.empty()) {
    // Newest first: a key that has been in the pool for long expires sooner.
    keys.push_back(std::move(pool.back()));
    pool.pop_back();
  }
  return keys;
}

std::int32_t KeyPool::WantedLocal() const {
  const std::lock_guard lock(mutex_);
  return FreeCapacity(local_);
}

std::int32_t KeyPool::WantedDurable() const {
  const std::lock_guard lock(mutex_);
  return FreeCapacity(durable_);
}

}  // namespace medlarcroft::adapters
