#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_BOOK_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_BOOK_H_

#include <map>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/target_state.h"

namespace medlarcroft::request_path {

using DomainRegions = std::map<FailureDomainName, RegionName>;

/// @brief What changed in the book, for the log.
enum class BookChange {
  kAdded,
  kUpdated,
  kLeaving,
  kDoubted,  ///< Its entry lapsed while the registry was away.
  kRemoved,
  kReturned,  ///< A doubted target is registered again.
};

/// @brief Hears of changes.
class BookObserver {
 public:
  virtual ~BookObserver() = default;
  virtual void OnTargetChange(BookChange change,
                              const TargetRecord& target) = 0;
};

/// @brief All registered targets, and which of them may get new work.
///
/// A target that said it leaves never comes back under the same id: a later
/// entry that says otherwise is older news, or a mistake.
class TargetBook {
 public:
  TargetBook(DomainRegions regions, BookObserver& observer);

  /// @brief The registry's whole content. Targets that are missing are gone,
  /// or doubted until `doubted_until` when their entries may have lapsed while
  /// nobody could renew them.
  void ReplaceAll(std::span<const TargetRecord> targets,
                  std::optional<MonotonicTime> doubted_until,
                  MonotonicTime now);
  void Put(const TargetRecord& target, MonotonicTime now);
  void Remove(const TargetName& target,
              std::optional<MonotonicTime> doubted_until);
  /// @brief Removes targets whose doubt has ended.
  void Advance(MonotonicTime now);

  /// @brief The domains that get no new work. One that is taken off the list
  /// has cold targets for `cold_time` of their service.
  void SetEvacuated(std::set<FailureDomainName> domains, MonotonicTime now);
  void SetColdTime(const ServiceName& service, Duration cold_time);

  /// @return the targets of a service that may get new work.
  [[nodiscard]] std::vector<TargetState*> Usable(const ServiceName& service);
  /// @return a target by id, also one that gets no new work, or null.
  [[nodiscard]] TargetState* Find(const TargetName& target);
  [[nodiscard]] bool IsEvacuated(const FailureDomainName& domain) const {
    return evacuated_.contains(domain);
  }
  [[nodiscard]] std::size_t Size() const { return targets_.size(); }

 private:
  struct Entry {
    std::unique_ptr<TargetState> state;
    std::optional<MonotonicTime> doubted_until;
  };

  [[nodiscard]] RegionName RegionOf(const FailureDomainName& domain) const;
  [[nodiscard]] Duration ColdTimeOf(const ServiceName& service) const;
  void Add(const TargetRecord& target, MonotonicTime now);
  void Erase(const TargetName& target);

  DomainRegions regions_;
  BookObserver& observer_;
  bool is_first_list_ = true;
  std::map<TargetName, Entry> targets_;
  std::unordered_map<ServiceName, Duration> cold_times_;
  std::set<FailureDomainName> evacuated_;
  // Ids that left, so that no older news brings them back.
  std::set<TargetName> departed_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_BOOK_H_
