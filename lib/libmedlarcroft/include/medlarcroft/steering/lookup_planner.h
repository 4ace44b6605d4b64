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

/// @brief Inputs from which answers are computed until the next update.
struct LookupInputs {
  catalogue::SharedCatalogueView catalogue;
  std::vector<EntryHost> hosts;
  std::vector<DomainLoad> domains;
  ShiftPlan plan;
  FailureDomainName own_domain;
};

/// @brief Limits on answers, and how callers return to a domain that was lost.
struct LookupOptions {
  std::size_t max_home_hosts = 4;   ///< Hosts of the first domain.
  std::size_t max_other_hosts = 2;  ///< Hosts of other domains.
  /// A TTL is drawn from [ttl * (1 - jitter), ttl], so that callers whose
  /// look-ups coincided do not all repeat them at the same time.
  double ttl_jitter = 0.25;
  /// Factor on the TTL of an answer whose rule is not `LookupRule::kHome`:
  /// callers repeat the look-up soon, but at most twice as often.
  double degraded_ttl_fraction = 0.5;
  /// Time over which the callers of a domain that was lost return to it,
  /// evenly. Its hosts are diskless and the caches of its targets are empty, so
  /// the return of all callers within one TTL would shift the load of a whole
  /// domain at once.
  Duration return_ramp = std::chrono::seconds(60);
};

/// @brief Chooses the entry hosts of an answer, their order, weights and TTL.
///
/// Designed for 900 look-ups per second on one host while 190 hosts restart per
/// day. `Update` groups the hosts by domain, a few times per second; `Plan`
/// reads only the domains of its answer. Hosts are sampled randomly without
/// replacement, weighted by slots and free capacity. Free capacity changes a
/// host's weight by a factor of at most four: otherwise a restarted host that
/// looks idle would receive nearly all callers of the next seconds, and they
/// would all queue there. Not thread-safe.
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
    std::vector<const EntryHost*> serving;      // Alive and ready.
    std::vector<const EntryHost*> unconfirmed;  // Suspect, unknown or starting.
    bool is_drained = false;
    /// Cumulative weights of the serving hosts, for each service looked up.
    std::map<ServiceName, std::vector<double>> cumulative_weights;
  };
  /// Whether a domain that had serving hosts has lost them, and when it
  /// regained them.
  struct Recovery {
    bool is_lost = false;
    std::optional<MonotonicTime> returned_at;
  };
  struct DomainChoice {
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
  [[nodiscard]] bool IsReturnDeferred(const FailureDomainName& home);
  [[nodiscard]] bool HasServingHosts(const FailureDomainName& domain) const;
  [[nodiscard]] DomainChoice ChooseFirstDomain(const ServiceName& service,
                                               const FailureDomainName& home);
  [[nodiscard]] std::optional<FailureDomainName> ChooseByPlan(
      const ServiceName& service,
      const FailureDomainName& home);
  [[nodiscard]] std::optional<FailureDomainName> ChooseBySpareRate(
      const ServiceName& service,
      const FailureDomainName& home);
  [[nodiscard]] double SpareRate(const ServiceName& service,
                                 const FailureDomainName& domain) const;
  [[nodiscard]] const Alternatives& AlternativesTo(
      const FailureDomainName& home);
  void AppendServing(const FailureDomainName& domain,
                     const ServiceName& service,
                     std::size_t max_count,
                     bool has_weight,
                     LookupAnswer& answer);
  void AppendSampled(std::span<const EntryHost* const> hosts,
                     std::span<const double> cumulative_weights,
                     std::size_t max_count,
                     bool has_weight,
                     LookupAnswer& answer);
  void AppendOtherDomains(const ServiceName& service, LookupAnswer& answer);
  void AppendUnconfirmed(const ServiceName& service,
                         const FailureDomainName& home,
                         LookupAnswer& answer);
  [[nodiscard]] Duration JitterTtl(const catalogue::ServiceEntry& service,
                                   LookupRule rule);

  const ports::Clock* clock_;
  ports::RandomSource* random_;
  WeightedSampler sampler_;
  LookupOptions options_;
  LookupInputs inputs_;
  std::map<FailureDomainName, DomainHosts> domains_;
  std::map<FailureDomainName, const DomainLoad*> loads_;
  std::map<FailureDomainName, Alternatives> alternatives_;
  std::map<FailureDomainName, Recovery> recoveries_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_LOOKUP_PLANNER_H_
