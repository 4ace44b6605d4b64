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

/// @brief What this host assumes about another. In its own domain, a host whose
/// heartbeats stop arriving becomes suspect and then dead. In other domains it
/// only becomes unknown, since a network partition looks the same.
enum class Liveness { kAlive, kSuspect, kDead, kLeaving, kUnknown };

struct MembershipOptions {
  /// A host whose newest state or heartbeat is this old gets less new work, but
  /// stays a member. Four times the mean refresh interval with 52 hosts within
  /// the byte budget.
  Duration suspect_after = std::chrono::seconds(6);
  /// A host of the own domain whose newest state or heartbeat is this old is
  /// considered dead, as there are no partitions within a domain.
  Duration dead_after = std::chrono::seconds(15);
  /// Statements from other domains are ignored when older than this.
  Duration unknown_after = std::chrono::seconds(30);
  /// A dead host that the platform does not list is removed after this time.
  Duration forget_after = std::chrono::minutes(10);
};

struct Member {
  /// With the current `age`. A host from which no state was ever received has
  /// number 0 and, when the platform lists it, the domain and peer address from
  /// that list.
  HostState state;
  Liveness liveness = Liveness::kUnknown;
  /// Number of the newest state or heartbeat, whose age is `state.age`. The
  /// rest of the state is sent less often, and its loads even less often.
  StateNumber alive_number;
  Duration content_age{};
  StateNumber loads_number;
  Duration loads_age{};
  /// Last answer to a call of this host.
  std::optional<MonotonicTime> answered_at;
  /// From the first to the last call that failed since then.
  std::optional<Duration> silent_for;
  bool is_listed_live = false;  ///< Listed by the platform, and not as leaving.
};

/// @brief The part of a host's state that decides whether callers are sent to
/// it.
struct HostStateView {
  const HostState& state;  ///< As received; `age` is not updated.
  Duration age{0};         ///< Of the newest state or heartbeat.
  bool is_leaving = false;
};

/// @brief All hosts known to this one, and itself. Designed for 52 hosts in a
/// domain that exchange a few states a second. Statements of a host arrive
/// late, twice or out of order, through other hosts, so only the numbers given
/// by the host itself order them. The first report that a host is leaving takes
/// precedence over every later state or heartbeat of the same process; only a
/// new process of that host resets it. Not thread-safe.
class MembershipTable {
 public:
  /// @param self this host; its number must be set.
  MembershipTable(MembershipOptions options,
                  HostState self,
                  const ports::Clock& clock);

  /// @brief Must be called at least every third of `suspect_after`.
  /// @return true when this process was paused for longer than `suspect_after`,
  /// so that others may consider it dead. Its incarnation is then increased, so
  /// that statements about it from that time are older than its next one.
  bool Tick();

  /// @brief Changes this host's own state, under the next sequence number.
  void UpdateSelf(const std::function<void(HostState&)>& change);
  [[nodiscard]] const HostState& Self() const { return self_; }

  /// @brief Applies a state received from its host or through others.
  /// @return whether it contained anything new.
  bool Receive(const HostState& state);
  /// @brief Applies a heartbeat. One of an unknown host or incarnation is
  /// ignored.
  bool Receive(const Heartbeat& heartbeat);
  /// @brief Records that `host` itself answered a call of this host.
  void RecordAnswer(const HostName& host);
  /// @brief Records that a call of this host to `host` failed.
  void RecordFailedCall(const HostName& host);
  /// @brief Applies the platform's list, which lags behind. A host that it
  /// shows as leaving is leaving; nothing in it undoes that.
  void ApplyHostList(std::span<const ports::ListedHost> hosts);
  /// @brief Records that the operator removes a host.
  void MarkLeaving(const HostName& host);

  bool Receive(const DomainSummary& summary);
  /// @return the newest summary of each other domain that is not too old, with
  /// the current `age`.
  [[nodiscard]] std::vector<DomainSummary> Summaries() const;
  /// @return the totals of the own domain, from its hosts that are not dead.
  [[nodiscard]] DomainSummary Summarise() const;

  /// @return all known hosts except this one, by name.
  [[nodiscard]] std::vector<Member> Members() const;
  /// @brief Visits all hosts except this one from which a state was ever
  /// received, by name. Nothing is copied, since look-ups are frequent and
  /// there may be hundreds of hosts.
  void VisitHostStates(
      const std::function<void(const HostStateView&)>& visit) const;
  [[nodiscard]] std::optional<Member> Find(const HostName& host) const;
  /// @return the hosts of the own domain that are alive or suspect, including
  /// this one unless it is leaving.
  [[nodiscard]] std::vector<HostName> LiveHosts() const;
  [[nodiscard]] MonotonicTime RunningSince() const { return resumed_at_; }

 private:
  struct Record {
    std::uint32_t host_hash = 0;
    std::optional<HostState> state;
    MonotonicTime content_at;
    StateNumber alive_number;
    MonotonicTime last_seen_at;
    StateNumber loads_number;
    MonotonicTime loads_at;
    std::optional<MonotonicTime> answered_at;
    std::optional<MonotonicTime> first_failed_at;
    MonotonicTime last_failed_at;
    FailureDomainName listed_domain;  ///< According to the platform's list.
    std::string listed_address;
    bool is_listed = false;
    bool is_listed_leaving = false;
    /// Processes up to this one are leaving.
    std::optional<std::uint64_t> leaving_through;
    /// The host was reported as leaving before its first state was received.
    bool is_leaving_before_state = false;
  };
  struct ReceivedSummary {
    DomainSummary summary;
    MonotonicTime reported_at;
  };

  [[nodiscard]] bool ReceiveOwn(const HostState& state);
  [[nodiscard]] static bool IsLeaving(const Record& record);
  static void SetLeaving(Record& record);
  [[nodiscard]] Record& RecordOf(const HostName& host);
  [[nodiscard]] Liveness LivenessOf(const Record& record,
                                    MonotonicTime now) const;
  [[nodiscard]] Member MemberOf(const HostName& host,
                                const Record& record,
                                MonotonicTime now) const;
  void RemoveExpired(MonotonicTime now);

  MembershipOptions options_;
  HostState self_;
  const ports::Clock& clock_;
  std::map<HostName, Record> records_;
  std::map<FailureDomainName, ReceivedSummary> summaries_;
  MonotonicTime ticked_at_;
  MonotonicTime resumed_at_;
};

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_MEMBERSHIP_TABLE_H_
