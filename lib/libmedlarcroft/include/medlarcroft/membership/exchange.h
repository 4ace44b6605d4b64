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

/// @brief How often a host exchanges states, and how much at a time.
struct ExchangePacing {
  Duration period = std::chrono::seconds(1);
  /// Peers called in each period.
  std::uint32_t fan_out = 1;
  /// Bound of one message's content.
  std::size_t message_bytes = 750;
};

/// @brief What of the control budget exchanges may take. A host sends and gets
/// one message for each exchange that it begins, and as many again for those
/// that its peers begin: four messages a period at a fan-out of one.
struct ExchangeBudget {
  /// Of the 7 KB/s for all control; the rest is for the catalogue, loans and
  /// the platform.
  double bytes_per_second = 5'000.0;
  /// Headers of TCP and IP, acknowledgements, the frame and the call's name,
  /// for each message.
  std::size_t overhead_bytes = 130;
  /// Smallest useful message: the own state and two more.
  std::size_t min_message_bytes = 500;
};

/// @return the pacing that keeps to `budget` in the mean: one peer at a time,
/// each second, or less often when messages would become too small. One peer,
/// since with a fixed number of bytes fewer, fuller messages waste less on
/// overhead.
[[nodiscard]] ExchangePacing PacingFor(const ExchangeBudget& budget);

/// @brief One message. The daemon adds the protocol's version and revision.
struct ExchangeContent {
  HostState sender;
  std::vector<Heartbeat> heartbeats;
  std::vector<HostState> hosts;
  std::vector<TargetObservation> observations;
  std::vector<DomainSummary> summaries;
};

[[nodiscard]] std::size_t WireBytes(const ExchangeContent& content);

/// @brief Chooses what to tell next, within the bytes of a message. Made for 52
/// hosts a domain and 17 domains. Heartbeats of all hosts go in every message.
/// Of whole states a message holds few: first what is leaving, since new work
/// must stop within seconds, then each in turn, so that nothing starves.
/// Addresses go along seldom. Not safe to share between threads.
class ExchangeSelector {
 public:
  [[nodiscard]] ExchangeContent Select(const MembershipTable& members,
                                       const TargetStatusTable& targets,
                                       std::size_t message_bytes);

 private:
  /// Kind and name of what is told.
  using ItemName = std::pair<int, std::string>;
  struct Told {
    StateNumber number;
    std::uint32_t times = 0;    ///< Under this number.
    std::uint32_t message = 0;  ///< The last that told it.
    std::map<FailureDomainName, std::uint32_t> seats;
  };

  [[nodiscard]] std::uint32_t TimesTold(const ItemName& item,
                                        const StateNumber& number) const;
  void NoteTold(const ItemName& item, const StateNumber& number);
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

  std::map<ItemName, Told> told_;
  std::uint32_t messages_ = 0;
};

/// @brief Takes in one message. States of hosts without a domain are of the
/// sender's.
void ApplyExchange(const ExchangeContent& content,
                   MembershipTable& members,
                   TargetStatusTable& targets);

/// @brief Chooses whom to call: each host of the view once a round, in an order
/// drawn anew each round, so that no pair stays apart for more than two rounds.
class PeerRotation {
 public:
  /// @return the next of `hosts` to call; nullopt when there is none.
  [[nodiscard]] std::optional<HostName> Next(std::span<const HostName> hosts,
                                             ports::RandomSource& random);

 private:
  std::vector<HostName> round_;
};

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_EXCHANGE_H_
