#ifndef MEDLARCROFT_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define MEDLARCROFT_MEMBERSHIP_MEMBERSHIP_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/membership/heartbeat.h"
#include "medlarcroft/membership/host_state.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/host_list.h"

namespace medlarcroft::membership {

/// @brief What is believed of a host. In the own domain age leads from alive to
/// suspect to dead; elsewhere only to unknown, since a partition looks the
/// same.
enum class Liveness { kAlive, kSuspect, kDead, kLeaving, kUnknown };

struct MembershipOptions {
  /// A host unheard for so long gets less new work, but keeps its place. Four
  /// times the mean refresh at 52 hosts within the byte budget.
  Duration suspect_after = std::chrono::seconds(6);
  /// Unheard for so long it counts as gone in its own domain, where there are
  /// no partitions.
  Duration dead_after = std::chrono::seconds(15);
  /// What other domains said is worth nothing after this.
  Duration unknown_after = std::chrono::seconds(30);
  /// A dead host that the platform does not list is forgotten then.
  Duration forget_after = std::chrono::minutes(10);
};

struct Member {
  /// `age` as of now. A host that was never heard has number 0 and, when the
  /// platform lists it, its domain and peer address from there.
  HostState state;
  Liveness liveness = Liveness::kUnknown;
  /// The newest sign of life; `state.age` is its age. The rest of the state is
  /// told less often, and its loads less often still.
  StateNumber alive_number;
  Duration content_age{};
  StateNumber loads_number;
  Duration loads_age{};
  /// Last answer to this host itself.
  std::optional<MonotonicTime> answered_at;
  /// From the first to the last call that failed since then.
  std::optional<Duration> silent_for;
  bool is_listed_live = false;  ///< Listed by the platform, not leaving.
};

/// @brief A host that was heard, as far as callers are sent to it.
struct HostStateView {
  const HostState& state;  ///< As told; `age` is not kept up.
  Duration age{0};         ///< Of the newest sign of life.
  bool is_leaving = false;
};

/// @brief Every host that this one knows of, and itself. Made for 52 hosts a
/// domain that exchange a few states a second: what one says arrives late,
/// twice and out of order, through others, so only the speaker's own numbers
/// order it. The first sign that a host leaves wins over every later sign of
/// life of the same process; only a new process of that host undoes it. Not
/// safe to share between threads.
class MembershipTable {
 public:
  /// @param self this host; its number must be set.
  MembershipTable(MembershipOptions options,
                  HostState self,
                  const ports::Clock& clock);

  /// @brief Called at least every third of `suspect_after`.
  /// @return true when this process was paused for longer than that: others may
  /// have given it up. Its incarnation is then higher, so that what was said of
  /// it meanwhile is older than what it says now.
  bool Tick();

  /// @brief Changes what this host says about itself, under the next sequence.
  void UpdateSelf(const std::function<void(HostState&)>& change);
  [[nodiscard]] const HostState& Self() const { return self_; }

  /// @brief Takes in a state, from its host or through others.
  /// @return whether it told something new.
  bool Receive(const HostState& state);
  /// @brief Takes in a sign of life; of an unknown host or incarnation it tells
  /// nothing.
  bool Receive(const Heartbeat& heartbeat);
  /// @brief `host` itself answered a call of this host.
  void NoteAnswer(const HostName& host);
  /// @brief A call of this host to `host` failed.
  void NoteNoAnswer(const HostName& host);
  /// @brief Takes in the platform's list: a lagging sign. A host that it shows
  /// leaving, leaves; it undoes nothing.
  void ApplyHostList(std::span<const ports::ListedHost> hosts);
  /// @brief The operator's word that a host leaves.
  void MarkLeaving(const HostName& host);

  bool Receive(const DomainSummary& summary);
  /// @return the newest summary of each other domain that is not too old, `age`
  /// as of now.
  [[nodiscard]] std::vector<DomainSummary> Summaries() const;
  /// @return the sum of the own domain, from its hosts that are not dead.
  [[nodiscard]] DomainSummary Summarise() const;

  /// @return all known hosts but this one, by name.
  [[nodiscard]] std::vector<Member> Members() const;
  /// @brief Visits all hosts that were heard, but this one, by name. Nothing is
  /// copied: look-ups come often, and there may be hundreds of hosts.
  void VisitHostStates(
      const std::function<void(const HostStateView&)>& visit) const;
  [[nodiscard]] std::optional<Member> Find(const HostName& host) const;
  /// @return the hosts of the own domain that are alive or suspect, with this
  /// one unless it leaves.
  [[nodiscard]] std::vector<HostName> LiveHosts() const;
  [[nodiscard]] MonotonicTime RunningSince() const { return resumed_at_; }

 private:
  struct Record {
    std::uint32_t host_hash = 0;
    std::optional<HostState> state;
    MonotonicTime content_at;
    StateNumber alive_number;
    MonotonicTime heard_at;
    StateNumber loads_number;
    MonotonicTime loads_at;
    std::optional<MonotonicTime> answered_at;
    std::optional<MonotonicTime> first_failed_at;
    MonotonicTime last_failed_at;
    FailureDomainName listed_domain;  ///< By the platform's list.
    std::string listed_address;
    bool is_listed = false;
    bool is_listed_leaving = false;
    /// Processes up to this one are leaving.
    std::optional<std::uint64_t> leaving_through;
    /// A leaving sign came before the host was first heard.
    bool is_leaving_unheard = false;
  };
  struct HeardSummary {
    DomainSummary summary;
    MonotonicTime heard_at;
  };

  [[nodiscard]] bool ReceiveOwn(const HostState& state);
  [[nodiscard]] static bool IsLeaving(const Record& record);
  static void NoteLeaving(Record& record);
  [[nodiscard]] Record& RecordOf(const HostName& host);
  [[nodiscard]] Liveness LivenessOf(const Record& record,
                                    MonotonicTime now) const;
  [[nodiscard]] Member MemberOf(const HostName& host,
                                const Record& record,
                                MonotonicTime now) const;
  void ForgetGone(MonotonicTime now);

  MembershipOptions options_;
  HostState self_;
  const ports::Clock& clock_;
  std::map<HostName, Record> records_;
  std::map<FailureDomainName, HeardSummary> summaries_;
  MonotonicTime ticked_at_;
  MonotonicTime resumed_at_;
};

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_MEMBERSHIP_TABLE_H_
