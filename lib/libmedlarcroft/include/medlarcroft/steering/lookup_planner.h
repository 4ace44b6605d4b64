#ifndef MEDLARCROFT_STEERING_LOOKUP_PLANNER_H_
#define MEDLARCROFT_STEERING_LOOKUP_PLANNER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/steering/domain_load.h"
#include "medlarcroft/steering/entry_host.h"
#include "medlarcroft/steering/lookup_answer.h"
#include "medlarcroft/steering/shift_plan.h"
#include "medlarcroft/steering/weighted_sampler.h"

namespace medlarcroft::steering {

/// @brief What the answers are made from, from one moment on.
struct LookupInputs {
  catalogue::SharedCatalogueView catalogue;
  std::vector<EntryHost> hosts;
  std::vector<DomainLoad> domains;
  ShiftPlan plan;
  FailureDomainName own_domain;
};

/// @brief Bounds of an answer.
struct LookupOptions {
  std::size_t max_home_hosts = 4;   ///< Hosts of the first domain.
  std::size_t max_other_hosts = 2;  ///< Hosts of other domains, after them.
  /// A TTL is drawn from [ttl * (1 - jitter), ttl], so that callers who asked
  /// together don't come back together.
  double ttl_jitter = 0.25;
  /// Part of the TTL when an answer is not the usual one: callers ask again
  /// soon, but no more than twice as often.
  double degraded_ttl_fraction = 0.5;
  /// Over this time the callers of a domain that was lost go back to it, in
  /// even steps. Its hosts are diskless and its targets' caches empty: all of
  /// its callers within one TTL would be a shift of a whole domain at once.
  Duration return_ramp = std::chrono::seconds(60);
};

/// @brief Chooses the entry hosts of an answer, their order, weights and TTL.
///
/// Made for 900 look-ups a second on a host while 190 hosts a day restart.
/// `Update` sorts the hosts by domain, a few times a second; `Plan` touches
/// only the domains of its answer. Hosts are drawn at random without
/// replacement, by slots and free capacity. The free part moves a host's weight
/// by at most four to one: a fresh host that looks idle would otherwise take
/// nearly all callers of the next seconds, who would all wait at it. Not safe
/// to share between threads.
class LookupPlanner {
 public:
  LookupPlanner(const ports::Clock& clock,
                ports::RandomSource& random,
                LookupOptions options = {});
  LookupPlanner(const LookupPlanner&) = delete;
  LookupPlanner& operator=(const LookupPlanner&) = delete;

  void Update(LookupInputs inputs);

  [[nodiscard]] Result<LookupAnswer, LookupError> Plan(
      const LookupRequest& request);

 private:
  struct DomainHosts {
    std::vector<const EntryHost*> serving;   // Alive and ready.
    std::vector<const EntryHost*> doubtful;  // Suspect, unknown or starting.
    bool is_drained = false;
    /// For each service asked for, running sums of the serving hosts' weights.
    std::map<ServiceName, std::vector<double>> running_weights;
  };
  /// When a domain that had serving hosts lost and regained them.
  struct Recovery {
    bool is_lost = false;
    std::optional<MonotonicTime> returned_at;
  };
  struct Choice {
    FailureDomainName domain;
    LookupRule rule;
  };
  using Alternatives = std::vector<FailureDomainName>;

  [[nodiscard]] std::optional<LookupError> Check(
      const LookupRequest& request,
      const catalogue::ServiceEntry* service) const;
  [[nodiscard]] const DomainHosts* FindDomain(
      const FailureDomainName& domain) const;
  void TrackRecovery();
  [[nodiscard]] bool IsHeldBack(const FailureDomainName& home);
  [[nodiscard]] bool HasServing(const FailureDomainName& domain) const;
  [[nodiscard]] Choice ChooseFirst(const ServiceName& service,
                                   const FailureDomainName& home);
  [[nodiscard]] std::optional<FailureDomainName> DrawByPlan(
      const ServiceName& service,
      const FailureDomainName& home);
  [[nodiscard]] std::optional<FailureDomainName> DrawBySpare(
      const ServiceName& service,
      const FailureDomainName& home);
  [[nodiscard]] double SpareOf(const ServiceName& service,
                               const FailureDomainName& domain) const;
  [[nodiscard]] const Alternatives& AlternativesTo(
      const FailureDomainName& home);
  void AppendServing(const FailureDomainName& domain,
                     const ServiceName& service,
                     std::size_t most,
                     bool has_weight,
                     LookupAnswer& answer);
  void AppendDrawn(std::span<const EntryHost* const> hosts,
                   std::span<const double> running_weights,
                   std::size_t most,
                   bool has_weight,
                   LookupAnswer& answer);
  void AppendOthers(const ServiceName& service, LookupAnswer& answer);
  void AppendDoubtful(const ServiceName& service,
                      const FailureDomainName& home,
                      LookupAnswer& answer);
  [[nodiscard]] Duration DrawTtl(const catalogue::ServiceEntry& service,
                                 LookupRule rule);

  const ports::Clock* clock_;
  ports::RandomSource* random_;
  WeightedDraw draw_;
  LookupOptions options_;
  LookupInputs inputs_;
  std::map<FailureDomainName, DomainHosts> domains_;
  std::map<FailureDomainName, const DomainLoad*> loads_;
  std::map<FailureDomainName, Alternatives> alternatives_;
  std::map<FailureDomainName, Recovery> recoveries_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_LOOKUP_PLANNER_H_
