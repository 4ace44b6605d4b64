#ifndef MEDLARCROFT_MEMBERSHIP_EXCHANGE_H_
#define MEDLARCROFT_MEMBERSHIP_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/membership/heartbeat.h"
#include "medlarcroft/membership/host_state.h"
#include "medlarcroft/membership/membership_table.h"
#include "medlarcroft/membership/target_status_table.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::membership {

/// @brief Interval, fan-out and size of state exchanges.
struct ExchangePacing {
  Duration period = std::chrono::seconds(1);
  /// Number of peers called in each period.
  std::uint32_t fan_out = 1;
  /// Maximum size of the content of one message.
  std::size_t message_bytes = 750;
};

/// @brief Part of the bandwidth for control traffic that exchanges may use. A
/// host sends and receives one message for each exchange that it begins, and as
/// many for those that its peers begin: four messages in a period at a fan-out
/// of one.
struct ExchangeBudget {
  /// Of the 7 KB/s for all control traffic. The rest is for the catalogue,
  /// loans and the platform.
  double bytes_per_second = 5'000.0;
  /// TCP and IP headers, acknowledgements, the frame and the call's name, for
  /// each message.
  std::size_t overhead_bytes = 130;
  /// Smallest useful message: the host's own state and two others.
  std::size_t min_message_bytes = 500;
};

/// @return the pacing that keeps to `budget` on average: one peer at a time,
/// each second, or less often when messages would become too small. One peer,
/// since with a fixed number of bytes, fewer and fuller messages waste less on
/// overhead.
[[nodiscard]] ExchangePacing PacingFor(const ExchangeBudget& budget);

/// @brief Content of one message. The daemon adds the protocol's version and
/// revision.
struct ExchangeContent {
  HostState sender;
  std::vector<Heartbeat> heartbeats;
  std::vector<HostState> hosts;
  std::vector<TargetObservation> observations;
  std::vector<DomainSummary> summaries;
};

[[nodiscard]] std::size_t WireBytes(const ExchangeContent& content);

/// @brief Selects what the next message contains, within its size. Designed for
/// 52 hosts in a domain and 17 domains. Every message contains the heartbeats
/// of all hosts, but only a few whole states: first those of leaving hosts,
/// since new work must stop within seconds, then the others in rotation, so
/// that none is starved. Addresses are sent seldom. Not thread-safe.
class ExchangeSelector {
 public:
  [[nodiscard]] ExchangeContent Select(const MembershipTable& members,
                                       const TargetStatusTable& targets,
                                       std::size_t message_bytes);

 private:
  /// Kind and name of a sent item.
  using ItemName = std::pair<int, std::string>;
  struct SendRecord {
    StateNumber number;
    std::uint32_t times = 0;    ///< How often it was sent with this `number`.
    std::uint32_t message = 0;  ///< The last message that contained it.
    std::map<FailureDomainName, std::uint32_t> seats;
  };

  [[nodiscard]] std::uint32_t SendCount(const ItemName& item,
                                        const StateNumber& number) const;
  void RecordSend(const ItemName& item, const StateNumber& number);
  [[nodiscard]] HostState OwnState(const HostState& self);
  static void AddHeartbeats(ExchangeContent& content,
                            const std::vector<Member>& members,
                            std::size_t& room);
  void AddHosts(ExchangeContent& content,
                const std::vector<Member>& members,
                std::size_t& room);
  void AddObservations(ExchangeContent& content,
                       std::vector<TargetObservation> observations,
                       std::size_t& room);
  void AddSummaries(ExchangeContent& content,
                    std::vector<DomainSummary> summaries,
                    std::size_t& room);

  std::map<ItemName, SendRecord> send_records_;
  std::uint32_t messages_ = 0;
};

/// @brief Applies one message. Hosts whose state has no domain are in the
/// sender's domain.
void ApplyExchange(const ExchangeContent& content,
                   MembershipTable& members,
                   TargetStatusTable& targets);

/// @brief Chooses the next peer to call. Each host is called once in a round,
/// and each round has a new random order, so that no pair goes without an
/// exchange for more than two rounds.
class PeerRotation {
 public:
  /// @return the next of `hosts` to call; nullopt when there is none.
  [[nodiscard]] std::optional<HostName> Next(std::span<const HostName> hosts,
                                             ports::RandomSource& random);

 private:
  std::vector<HostName> remaining_;
};

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_EXCHANGE_H_
