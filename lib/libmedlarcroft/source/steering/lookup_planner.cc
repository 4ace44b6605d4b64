#include "medlarcroft/steering/lookup_planner.h"

#include <algorithm>
#include <utility>

#include "entry_host_weight.h"

namespace medlarcroft::steering {

namespace {

/// Spare capacity assumed for a full domain, as a fraction of its capacity:
/// when all domains are full, callers are spread by size and admission refuses
/// the excess.
constexpr double kFullDomainSpareFraction = 0.05;
/// Spare capacity assumed for a domain whose load is not known, in requests per
/// second: close to nothing, but not zero, in case the load of no other domain
/// is known either.
constexpr double kUnknownSpareRate = 0.01;
/// Maximum number of domains that callers of a lost domain are spread over,
/// nearest first: enough for a region, few enough to keep the latency low.
constexpr std::size_t kMaxAlternatives = 6;

}  // namespace

LookupPlanner::LookupPlanner(const ports::Clock& clock,
                             ports::RandomSource& random,
                             LookupOptions options)
    : clock_(&clock),
      random_(&random),
      sampler_(random),
      options_(options),
      inputs_{.catalogue = std::make_shared<const catalogue::CatalogueView>()} {
}

void LookupPlanner::Update(LookupInputs inputs) {
  inputs_ = std::move(inputs);
  domains_.clear();
  loads_.clear();
  alternatives_.clear();

  const catalogue::CatalogueView& view = *inputs_.catalogue;

  for (const EntryHost& host : inputs_.hosts) {
    const bool is_leaving =
        host.phase == EntryHostPhase::kLeaving ||
        view.IsDrained(catalogue::DrainSubject::kHost, host.host.Value());

    // A leaving host is omitted as soon as it is known to leave: callers keep
    // an answer for its TTL and would still connect after the host has stopped.
    if (is_leaving || host.liveness == EntryHostLiveness::kDead) {
      continue;
    }

    DomainHosts& domain = domains_[host.failure_domain];
    (IsServing(host) ? domain.serving : domain.unconfirmed).push_back(&host);
  }

  for (auto& [name, domain] : domains_) {
    domain.is_drained =
        view.IsDrained(catalogue::DrainSubject::kFailureDomain, name.Value());
  }

  for (const DomainLoad& load : inputs_.domains) {
    loads_[load.failure_domain] = &load;
  }

  TrackRecovery();
}

void LookupPlanner::TrackRecovery() {
  const MonotonicTime now = clock_->Now();

  for (auto& [name, recovery] : recoveries_) {
    const bool is_serving = HasServingHosts(name);

    if (is_serving && recovery.is_lost) {
      recovery.returned_at = now;
    }

    recovery.is_lost = !is_serving;
  }

  // Only a domain that has been seen serving can be lost. Otherwise a host that
  // has just started would mistake the first sight of a domain for its return.
  for (const auto& [name, hosts] : domains_) {
    if (!hosts.serving.empty()) {
      recoveries_.try_emplace(name);
    }
  }
}

bool LookupPlanner::IsReturnDeferred(const FailureDomainName& home) {
  const auto found = recoveries_.find(home);
  if (found == recoveries_.end() || !found->second.returned_at) {
    return false;
  }

  const Duration elapsed = clock_->Now() - *found->second.returned_at;
  if (elapsed >= options_.return_ramp) {
    return false;
  }

  const double returned_fraction =
      ToSeconds(elapsed) / ToSeconds(options_.return_ramp);
  return random_->NextUnit() >= returned_fraction;
}

std::optional<LookupError> LookupPlanner::Check(
    const LookupRequest& request,
    const catalogue::ServiceEntry* service) const {
  if (service == nullptr) {
    return LookupError::kUnknownService;
  }

  const bool is_known_brand =
      service->brands.empty() ||
      std::any_of(
          service->brands.begin(), service->brands.end(),
          [&](const auto& share) { return share.brand == request.brand; });
  if (!is_known_brand) {
    return LookupError::kUnknownBrand;
  }

  return std::nullopt;
}

const LookupPlanner::DomainHosts* LookupPlanner::FindDomain(
    const FailureDomainName& domain) const {
  const auto found = domains_.find(domain);
  return found == domains_.end() ? nullptr : &found->second;
}

bool LookupPlanner::HasServingHosts(const FailureDomainName& domain) const {
  const DomainHosts* hosts = FindDomain(domain);
  return hosts != nullptr && !hosts->serving.empty();
}

const LookupPlanner::Alternatives& LookupPlanner::AlternativesTo(
    const FailureDomainName& home) {
  const auto known = alternatives_.find(home);
  if (known != alternatives_.end()) {
    return known->second;
  }

  std::vector<std::pair<Duration, FailureDomainName>> by_latency;
  for (const auto& [name, hosts] : domains_) {
    const bool is_usable =
        name != home && !hosts.is_drained && !hosts.serving.empty();
    if (!is_usable) {
      continue;
    }

    const catalogue::LinkEntry* link = inputs_.catalogue->FindLink(home, name);
    by_latency.emplace_back(link == nullptr ? Duration::max() : link->latency,
                            name);
  }
  std::sort(by_latency.begin(), by_latency.end());

  Alternatives& alternatives = alternatives_[home];
  for (auto& [latency, name] : by_latency) {
    if (alternatives.size() < kMaxAlternatives) {
      alternatives.push_back(std::move(name));
    }
  }
  return alternatives;
}

double LookupPlanner::SpareRate(const ServiceName& service,
                                const FailureDomainName& domain) const {
  const auto found = loads_.find(domain);
  const ServiceLoad* load =
      found == loads_.end() ? nullptr : FindLoad(found->second->loads, service);
  const catalogue::ServiceEntry* entry =
      inputs_.catalogue->FindService(service);
  const bool is_known = load != nullptr && entry != nullptr &&
                        load->usable_slots > 0.0 &&
                        entry->request_class.expected_service_time.count() > 0;
  if (!is_known) {
    return kUnknownSpareRate;
  }

  // Uses rates rather than busy slots: with few slots, one sample can be off by
  // a third, and all callers of the next moments would go to the domain whose
  // sample was low.
  const double capacity = load->usable_slots /
                          ToSeconds(entry->request_class.expected_service_time);
  const double spare =
      capacity - load->demand_per_second - load->shifted_in_per_second;
  return std::max(spare, capacity * kFullDomainSpareFraction);
}

std::optional<FailureDomainName> LookupPlanner::ChooseBySpareRate(
    const ServiceName& service,
    const FailureDomainName& home) {
  const Alternatives& alternatives = AlternativesTo(home);
  double sum = 0.0;
  for (const FailureDomainName& domain : alternatives) {
    sum += SpareRate(service, domain);
  }

  double remaining_weight = random_->NextUnit() * sum;
  for (const FailureDomainName& domain : alternatives) {
    remaining_weight -= SpareRate(service, domain);

    if (remaining_weight < 0.0) {
      return domain;
    }
  }

  if (alternatives.empty()) {
    return std::nullopt;
  }
  return alternatives.front();
}

std::optional<FailureDomainName> LookupPlanner::ChooseByPlan(
    const ServiceName& service,
    const FailureDomainName& home) {
  double remaining_weight = random_->NextUnit();

  for (const CallerMove& move : inputs_.plan.moves) {
    const bool is_match = move.service == service && move.from == home;
    if (!is_match || !HasServingHosts(move.to)) {
      continue;
    }

    remaining_weight -= move.fraction;

    if (remaining_weight < 0.0) {
      return move.to;
    }
  }

  return std::nullopt;
}

LookupPlanner::DomainChoice LookupPlanner::ChooseFirstDomain(
    const ServiceName& service,
    const FailureDomainName& home) {
  const DomainHosts* hosts = FindDomain(home);
  const bool is_serving = hosts != nullptr && !hosts->serving.empty();

  if (!is_serving) {
    const auto sampled = ChooseBySpareRate(service, home);
    return sampled ? DomainChoice{*sampled, LookupRule::kHomeLost}
                   : DomainChoice{home, LookupRule::kLastResort};
  }

  if (IsReturnDeferred(home)) {
    const auto sampled = ChooseBySpareRate(service, home);
    return sampled ? DomainChoice{*sampled, LookupRule::kHomeReturning}
                   : DomainChoice{home, LookupRule::kHome};
  }

  // Load is shifted between entry hosts, where the limits are enforced at the
  // moment of forwarding; an answer to a look-up can't be revoked. So answers
  // name another domain only where the plan says that callers move.
  const auto sampled = ChooseByPlan(service, home);
  return sampled ? DomainChoice{*sampled, LookupRule::kMovedByDrain}
                 : DomainChoice{home, LookupRule::kHome};
}

void LookupPlanner::AppendSampled(std::span<const EntryHost* const> hosts,
                                  std::span<const double> cumulative_weights,
                                  std::size_t max_count,
                                  bool has_weight,
                                  LookupAnswer& answer) {
  const std::size_t count = std::min(max_count, hosts.size());
  const auto weight_of = [&](std::size_t index) {
    const double before = index == 0 ? 0.0 : cumulative_weights[index - 1];
    return cumulative_weights[index] - before;
  };

  const std::span<const std::size_t> sampled =
      sampler_.Sample(cumulative_weights, count);
  double sum = 0.0;
  for (const std::size_t index : sampled) {
    sum += weight_of(index);
  }

  for (const std::size_t index : sampled) {
    const EntryHost& host = *hosts[index];
    answer.entry_hosts.push_back(
        {.host = host.host,
         .address = host.address,
         .failure_domain = host.failure_domain,
         .weight = has_weight ? weight_of(index) / sum : 0.0});
  }
}

void LookupPlanner::AppendServing(const FailureDomainName& domain,
                                  const ServiceName& service,
                                  std::size_t max_count,
                                  bool has_weight,
                                  LookupAnswer& answer) {
  const auto found = domains_.find(domain);
  if (found == domains_.end() || found->second.serving.empty()) {
    return;
  }

  DomainHosts& hosts = found->second;
  const auto [weights, is_new] = hosts.cumulative_weights.try_emplace(service);
  if (is_new) {
    weights->second = CumulativeWeights(hosts.serving, service);
  }
  AppendSampled(hosts.serving, weights->second, max_count, has_weight, answer);
}

void LookupPlanner::AppendOtherDomains(const ServiceName& service,
                                       LookupAnswer& answer) {
  std::size_t remaining = options_.max_other_hosts;

  for (const FailureDomainName& domain : AlternativesTo(answer.first_domain)) {
    if (remaining == 0) {
      return;
    }

    AppendServing(domain, service, 1, false, answer);
    --remaining;
  }
}

void LookupPlanner::AppendUnconfirmed(const ServiceName& service,
                                      const FailureDomainName& home,
                                      LookupAnswer& answer) {
  const std::size_t max_hosts =
      options_.max_home_hosts + options_.max_other_hosts;
  const bool is_last_resort = answer.rule == LookupRule::kLastResort;

  const auto append = [&](const FailureDomainName& domain) {
    const DomainHosts* hosts = FindDomain(domain);
    if (hosts != nullptr && answer.entry_hosts.size() < max_hosts) {
      AppendSampled(
          hosts->unconfirmed, CumulativeWeights(hosts->unconfirmed, service),
          max_hosts - answer.entry_hosts.size(), is_last_resort, answer);
    }
  };

  append(home);

  if (answer.entry_hosts.empty()) {
    append(inputs_.own_domain);
  }

  for (const auto& [name, hosts] : domains_) {
    if (!answer.entry_hosts.empty()) {
      return;
    }

    append(name);
  }
}

Duration LookupPlanner::JitterTtl(const catalogue::ServiceEntry& service,
                                  LookupRule rule) {
  const double jitter_factor = 1.0 - options_.ttl_jitter * random_->NextUnit();
  const double ttl_factor =
      rule == LookupRule::kHome ? 1.0 : options_.degraded_ttl_fraction;
  return FromSeconds(ToSeconds(service.lookup_ttl) * jitter_factor *
                     ttl_factor);
}

Result<LookupAnswer, LookupError> LookupPlanner::Plan(
    const LookupRequest& request) {
  const catalogue::ServiceEntry* service =
      inputs_.catalogue->FindService(request.service);
  if (const auto error = Check(request, service)) {
    return *error;
  }

  const FailureDomainName& home =
      request.nearest ? *request.nearest : inputs_.own_domain;
  const DomainChoice first = ChooseFirstDomain(request.service, home);

  LookupAnswer answer{.revision = inputs_.catalogue->Revision(),
                      .ttl = JitterTtl(*service, first.rule),
                      .rule = first.rule,
                      .first_domain = first.domain};
  answer.entry_hosts.reserve(options_.max_home_hosts +
                             options_.max_other_hosts);

  AppendServing(first.domain, request.service, options_.max_home_hosts, true,
                answer);

  if (first.rule != LookupRule::kLastResort) {
    AppendOtherDomains(request.service, answer);
  }

  AppendUnconfirmed(request.service, home, answer);

  if (answer.entry_hosts.empty()) {
    return LookupError::kNoEntryHost;
  }
  return answer;
}

}  // namespace medlarcroft::steering
