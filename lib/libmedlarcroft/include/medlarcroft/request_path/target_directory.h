#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_DIRECTORY_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_DIRECTORY_H_

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

/// @brief The targets of one service in one region that may get new work.
struct RegionTargets {
  RegionName region;
  std::vector<TargetState*> targets;
  double slots = 0;
};

/// @return the targets by region.
[[nodiscard]] std::vector<RegionTargets> GroupByRegion(
    std::span<TargetState* const> targets);

/// @brief What changed in the book, for the log.
enum class TargetChange {
  kAdded,
  kUpdated,
  kLeaving,
  kDoubted,  ///< Its entry lapsed while the registry was away.
  kRemoved,
  kReturned,    ///< A doubted or unreadable target is registered again.
  kRestarted,   ///< Another process has its id: all belief in it is dropped.
  kUnreadable,  ///< Its entry turned bad: nothing is sent until a good one.
};

/// @brief Hears of changes.
class TargetDirectoryObserver {
 public:
  virtual ~TargetDirectoryObserver() = default;
  virtual void OnTargetChange(TargetChange change,
                              const TargetRecord& target) = 0;
};

/// @brief All registered targets, and which of them may get new work.
///
/// A process that said it leaves never comes back: a later entry of it that
/// says otherwise is older news, or a mistake. A later process under the same
/// id is another one: it starts with no belief, and cold. News of an earlier
/// process than the one that is known changes nothing, so hosts that heard in
/// different orders agree once each has heard of the latest.
class TargetDirectory {
 public:
  TargetDirectory(DomainRegions regions, TargetDirectoryObserver& observer);

  /// @brief The registry's whole content. Targets that are missing are gone,
  /// or doubted until `doubted_until` when their entries may have lapsed while
  /// nobody could renew them.
  /// @param unreadable ids with an entry that can't be read.
  void ReplaceAll(std::span<const TargetRecord> targets,
                  std::span<const TargetName> unreadable,
                  std::optional<MonotonicTime> doubted_until,
                  MonotonicTime now);
  void Put(const TargetRecord& target, MonotonicTime now);
  void Remove(const TargetName& target,
              std::optional<MonotonicTime> doubted_until);
  /// @brief The target's entry can't be read. Failure: another writer spoilt
  /// it, or it says in new words that the target leaves. Symptom: requests go
  /// to a target that is gone, or another service's. Nothing is sent there
  /// until its next good entry, which a live target writes within a heartbeat
  /// or so; what is believed of it is kept till then.
  void Suspend(const TargetName& target);
  /// @brief Removes targets whose doubt has ended.
  void Advance(MonotonicTime now);

  /// @brief The domains that get no new work. One that is taken off the list
  /// has cold targets for `cold_time` of their service.
  void SetEvacuated(std::set<FailureDomainName> domains, MonotonicTime now);
  void SetColdTime(const ServiceName& service, Duration cold_time);

  /// @return the targets of a service that may get new work, by region; it
  /// holds until the book changes.
  [[nodiscard]] std::span<const RegionTargets> Usable(
      const ServiceName& service);
  /// @brief That process gets nothing any more: another target has its address.
  void MarkReplaced(const TargetIdentity& target);
  /// @return that process of a target, also one that gets no new work; null
  /// when it is not the latest that is known.
  [[nodiscard]] TargetState* Find(const TargetIdentity& target);
  [[nodiscard]] TargetState* Find(TargetNumber target);
  [[nodiscard]] bool IsEvacuated(const FailureDomainName& domain) const {
    return evacuated_.contains(domain);
  }
  [[nodiscard]] std::size_t Size() const { return targets_.size(); }

 private:
  struct Entry {
    std::unique_ptr<TargetState> state;
    std::optional<MonotonicTime> doubted_until;
    bool is_unreadable = false;
  };
  /// What stays known of a target that is gone.
  struct Departure {
    TargetIncarnation incarnation = kUnknownIncarnation;
    bool has_said_so = false;  ///< And not only vanished.
  };

  [[nodiscard]] RegionName RegionOf(const FailureDomainName& domain) const;
  [[nodiscard]] Duration ColdTimeOf(const ServiceName& service) const;
  [[nodiscard]] bool IsOlderThanDeparture(const TargetRecord& target) const;
  void Add(const TargetRecord& target, MonotonicTime now);
  void Restart(Entry& entry, const TargetRecord& target, MonotonicTime now);
  void Update(Entry& entry, TargetRecord target, MonotonicTime now);
  [[nodiscard]] std::unique_ptr<TargetState> MakeStarted(
      const TargetRecord& target,
      MonotonicTime now) const;
  void Erase(const TargetName& target);
  [[nodiscard]] std::vector<RegionTargets> GatherUsable(
      const ServiceName& service) const;

  DomainRegions regions_;
  TargetDirectoryObserver& observer_;
  bool is_first_list_ = true;
  std::map<TargetName, Entry> targets_;
  std::unordered_map<TargetNumber, TargetState*> numbers_;
  /// Load: each request asks, of hundreds of targets, and they change a few
  /// times a second. Empty: to be gathered anew.
  std::unordered_map<ServiceName, std::vector<RegionTargets>> usable_;
  std::unordered_map<ServiceName, Duration> cold_times_;
  std::set<FailureDomainName> evacuated_;
  // So that no older news brings them back.
  std::map<TargetName, Departure> departed_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_DIRECTORY_H_
