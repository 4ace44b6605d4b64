#ifndef MEDLARCROFT_TESTS_STANDINS_PLATFORM_MEMORY_PLATFORM_H_
#define MEDLARCROFT_TESTS_STANDINS_PLATFORM_MEMORY_PLATFORM_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "medlarcroft/ports/host_list.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::standins {

/// @brief The platform's data in memory: rows, objects and the host list.
class MemoryPlatform {
 public:
  ports::Row Read(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    return Find(key);
  }

  std::vector<ports::Row> Scan(const std::string& first,
                               const std::string& last,
                               std::size_t limit) const {
    const std::lock_guard lock(mutex_);
    std::vector<ports::Row> rows;
    for (auto row = rows_.lower_bound(first);
         row != rows_.end() && row->first < last && rows.size() < limit;
         ++row) {
      rows.push_back(row->second);
    }
    return rows;
  }

  ports::TransactionOutcome Commit(const ports::Transaction& transaction) {
    const std::lock_guard lock(mutex_);
    ports::TransactionOutcome outcome;
    for (const ports::RowCondition& condition : transaction.conditions) {
      ports::Row row = Find(condition.key);
      if (row.version != condition.version) {
        outcome.conflicting.push_back(std::move(row));
      }
    }
    if (!outcome.conflicting.empty()) {
      return outcome;
    }

    for (const ports::RowWrite& write : transaction.writes) {
      Apply(write);
    }
    outcome.committed = true;
    return outcome;
  }

  std::optional<std::string> GetObject(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(name);
    return found == objects_.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  void PutObject(const std::string& name, std::string bytes) {
    const std::lock_guard lock(mutex_);
    objects_[name] = std::move(bytes);
  }

  std::vector<ports::ListedHost> Hosts() const {
    const std::lock_guard lock(mutex_);
    return stale_hosts_.value_or(hosts_);
  }

  void SetHosts(std::vector<ports::ListedHost> hosts) {
    const std::lock_guard lock(mutex_);
    hosts_ = std::move(hosts);
  }

  /// @brief While the list is stale, readers get its contents as of the first
  /// call with `is_stale`.
  void SetHostListStale(bool is_stale) {
    const std::lock_guard lock(mutex_);
    if (!is_stale) {
      stale_hosts_.reset();
    } else if (!stale_hosts_) {
      stale_hosts_ = hosts_;
    }
  }

 private:
  ports::Row Find(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end()
               ? ports::Row{.key = key, .value = {}, .version = 0}
               : found->second;
  }

  void Apply(const ports::RowWrite& write) {
    if (!write.value) {
      rows_.erase(write.key);
      return;
    }
    ports::Row& row = rows_[write.key];
    row.key = write.key;
    row.value = *write.value;
    ++row.version;
  }

  mutable std::mutex mutex_;
  std::map<std::string, ports::Row> rows_;
  std::map<std::string, std::string> objects_;
  std::vector<ports::ListedHost> hosts_;
  std::optional<std::vector<ports::ListedHost>> stale_hosts_;
};

}  // namespace medlarcroft::standins

#endif  // MEDLARCROFT_TESTS_STANDINS_PLATFORM_MEMORY_PLATFORM_H_
