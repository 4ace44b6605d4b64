#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_DIRECTORY_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_DIRECTORY_H_

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/target_reach.h"
#include "medlarcroft/request_path/target_state.h"

namespace medlarcroft::request_path {

using DomainRegions = std::map<FailureDomainName, RegionName>;

/// @brief The targets of one service in one region that may get new requests.
struct RegionTargets {
  RegionName region;
  std::vector<TargetState*> targets;
  double slots = 0;
};

/// @return the targets, grouped by region.
[[nodiscard]] std::vector<RegionTargets> GroupByRegion(
    std::span<TargetState* const> targets);

/// @brief Kinds of changes in the directory, for the log.
enum class TargetChange {
  kAdded,
  kUpdated,
  kLeaving,
  kRetained,  ///< Its entry expired while the registry was unavailable.
  kRemoved,
  kReregistered,  ///< A retained or unreadable target is registered again.
  kRestarted,     ///< A new process has its id: all estimates are discarded.
  kUnreadable,    ///< Its entry is invalid: nothing is sent until a valid one.
};

/// @brief Receives the changes of a `TargetDirectory`.
class TargetDirectoryObserver {
 public:
  virtual ~TargetDirectoryObserver() = default;
  virtual void OnTargetChange(TargetChange change,
                              const TargetRecord& target) = 0;
  /// A target that did not rest asked for it.
  /// @param length including the time by which this host returns later.
  /// @param request whose response asked for it.
  virtual void OnRestStarted(const TargetIdentity& /*target*/,
                             Duration /*length*/,
                             std::string_view /*request*/) {}
  virtual void OnRestEnded(const TargetIdentity& /*target*/) {}
  /// The target says that it leaves, which was not known.
  /// @param request whose response says so.
  virtual void OnLeavingStated(const TargetIdentity& /*target*/,
                               std::string_view /*request*/) {}
};

/// @brief A rest that a target asks for.
struct RestRequest {
  Duration length{0};
  /// By which this host returns later than the target asks for.
  Duration delay{0};
  std::string_view request;  ///< Whose response asks for it.
};

/// @brief All registered targets, and which of them may get new requests.
///
/// A process that announced its shutdown never returns to service: a later
/// entry of the same process that states otherwise is outdated or wrong. A
/// newer process with the same id is a different one: it starts cold and
/// without any estimates. Entries of older processes than the known one are
/// ignored, so hosts that receive entries in different orders agree once each
/// has received the newest.
class TargetDirectory {
 public:
  TargetDirectory(DomainRegions regions, TargetDirectoryObserver& observer);

  /// @brief Replaces all entries by the complete content of the registry.
  /// Missing targets are removed, or retained until `retained_until` when their
  /// entries may have expired because they could not be renewed.
  /// @param unreadable ids whose entries cannot be parsed.
  void ReplaceAll(std::span<const TargetRecord> targets,
                  std::span<const TargetName> unreadable,
                  std::optional<MonotonicTime> retained_until,
                  MonotonicTime now);
  void Put(const TargetRecord& target, MonotonicTime now);
  void Remove(const TargetName& target,
              std::optional<MonotonicTime> retained_until);
  /// @brief Stops requests to a target whose entry cannot be parsed. Another
  /// writer may have corrupted the entry, or it announces the shutdown in a
  /// format that this version does not know. Requests would then go to a target
  /// that no longer runs, or to another service's target. Suspending until the
  /// next valid entry suffices, because a live target writes one within about a
  /// heartbeat; estimates about the target are kept until then.
  void Suspend(const TargetName& target);
  /// @brief Retains targets until `end` at most, after their entries turned out
  /// to have been removed, or the store to have been back for longer.
  void LimitRetention(MonotonicTime end, MonotonicTime now);
  /// @brief Removes retained targets whose time is over, and ends rests.
  void Advance(MonotonicTime now);

  /// @brief Keeps requests of this host from the process while it rests. The
  /// latest end that it has asked for counts. Holds for the process, also
  /// when its entry is removed and returns meanwhile.
  void Rest(const TargetIdentity& target,
            const RestRequest& rest,
            MonotonicTime now);
  /// @brief Records that the process itself says that it leaves, which no
  /// entry of it revokes.
  /// @param request whose response says so.
  void MarkLeaving(const TargetIdentity& target, std::string_view request);
  /// @return how many processes rest, or did at the last `Advance`.
  [[nodiscard]] std::size_t RestingCount() const { return rests_.size(); }

  /// @brief Sets the domains that get no new requests. The targets of a domain
  /// that is removed from the set are cold for the `cold_time` of their
  /// service.
  void SetEvacuated(std::set<FailureDomainName> domains, MonotonicTime now);
  void SetColdTime(const ServiceName& service, Duration cold_time);

  /// @return the targets of a service that may get new requests, by region;
  /// valid until the directory changes.
  [[nodiscard]] std::span<const RegionTargets> Usable(
      const ServiceName& service);
  /// @return the address of the process; nullopt when it must get no new
  /// requests.
  [[nodiscard]] std::optional<std::string> FindUsableAddress(
      const TargetIdentity& target,
      MonotonicTime now) const;
  /// @return all targets that may get new requests.
  [[nodiscard]] std::vector<ReachCandidate> ReachCandidates(
      MonotonicTime now) const;
  /// @brief Ends the backoff of all targets.
  void ForgetFailures();
  /// @brief Stops all requests to the process: another target has its address.
  void MarkReplaced(const TargetIdentity& target);
  /// @return the state of the process, even if it gets no new requests; null
  /// unless it is the target's latest known process.
  [[nodiscard]] TargetState* Find(const TargetIdentity& target);
  [[nodiscard]] TargetState* Find(TargetNumber target);
  [[nodiscard]] bool IsEvacuated(const FailureDomainName& domain) const {
    return evacuated_.contains(domain);
  }
  [[nodiscard]] std::size_t Size() const { return targets_.size(); }

 private:
  struct Entry {
    std::unique_ptr<TargetState> state;
    std::optional<MonotonicTime> retained_until;
    bool is_unreadable = false;
  };
  /// @brief Kept about a removed target to ignore outdated entries.
  struct Departure {
    TargetIncarnation incarnation = kUnknownIncarnation;
    /// Whether the target announced it, rather than only its entry vanishing.
    bool is_announced = false;
  };

  struct RestPeriod {
    MonotonicTime asked_until{};
    MonotonicTime until{};  ///< When this host returns.
  };

  [[nodiscard]] RegionName RegionOf(const FailureDomainName& domain) const;
  [[nodiscard]] Duration ColdTimeOf(const ServiceName& service) const;
  [[nodiscard]] bool IsOlderThanDeparture(const TargetRecord& target) const;
  void Add(const TargetRecord& target, MonotonicTime now);
  void Restart(Entry& entry, const TargetRecord& target, MonotonicTime now);
  void Update(Entry& entry, TargetRecord target, MonotonicTime now);
  [[nodiscard]] std::unique_ptr<TargetState> MakeState(
      const TargetRecord& target) const;
  [[nodiscard]] std::unique_ptr<TargetState> MakeStartedState(
      const TargetRecord& target,
      MonotonicTime now) const;
  void EndRests(MonotonicTime now);
  void Erase(const TargetName& target);
  [[nodiscard]] bool IsUsable(const Entry& entry) const;
  [[nodiscard]] std::vector<RegionTargets> GatherUsable(
      const ServiceName& service) const;

  DomainRegions regions_;
  TargetDirectoryObserver& observer_;
  bool is_first_list_ = true;
  std::map<TargetName, Entry> targets_;
  std::unordered_map<TargetNumber, TargetState*> numbers_;
  /// Cache of `Usable`, since each request queries it for hundreds of targets,
  /// which change only a few times per second. A missing service is computed on
  /// demand.
  std::unordered_map<ServiceName, std::vector<RegionTargets>> usable_;
  std::unordered_map<ServiceName, Duration> cold_times_;
  std::set<FailureDomainName> evacuated_;
  std::map<TargetIdentity, RestPeriod> rests_;
  // Prevents outdated entries from restoring removed targets.
  std::map<TargetName, Departure> departed_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_DIRECTORY_H_
