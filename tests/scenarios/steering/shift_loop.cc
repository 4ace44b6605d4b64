#include "scenarios/steering/shift_loop.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "medlarcroft/steering/shift_admission.h"

namespace medlarcroft::steering::scenario {

namespace {

constexpr Duration kHistory = std::chrono::seconds(30);
/// Number of shifted requests after which most of the cost of a cold cache is
/// gone.
constexpr double kWarmRequests = 500.0;
/// Refusals count as noticeable above this fraction of the requests of a
/// second.
constexpr double kNoticeableFraction = 0.05;
/// Changes of direction by less than this fraction of the link's capacity are
/// noise.
constexpr double kReversalFraction = 0.05;

std::int64_t TicksOf(Duration duration, Duration tick) {
  return duration / tick;
}

}  // namespace

double Outcome::RefusedShare() const {
  return requests == 0
             ? 0.0
             : static_cast<double>(refused) / static_cast<double>(requests);
}

double Outcome::LateShare() const {
  return requests == 0
             ? 0.0
             : static_cast<double>(late) / static_cast<double>(requests);
}

ShiftLoop::ShiftLoop(const Scenario& scenario,
                     const PolicyFactory& make_policy,
                     std::uint64_t seed)
    : scenario_(scenario), random_(seed) {
  const Deployment& deployment = scenario_.deployment;
  domains_.resize(deployment.domains.size());
  for (Domain& domain : domains_) {
    domain.policy = make_policy(clock_);
    domain.lookups = std::make_unique<LookupPlanner>(clock_, random_);
    domain.limiter = std::make_unique<ShiftLimiter>(clock_);
  }

  pools_.resize(deployment.services.size() * domains_.size());
  for (std::size_t service = 0; service < deployment.services.size();
       ++service) {
    const auto& entry = deployment.services[service];
    const double slots = deployment.slots.at(entry.service);
    const double capacity =
        slots / ToSeconds(entry.request_class.expected_service_time);
    for (std::size_t domain = 0; domain < domains_.size(); ++domain) {
      PoolOf(service, domain).slots = slots;
      PoolOf(service, domain).demand = capacity * scenario_.demand;
    }
  }

  links_.resize(domains_.size() * domains_.size());
  link_entries_.resize(links_.size());
  trends_.resize(links_.size());
  for (const catalogue::LinkEntry& link : deployment.links) {
    link_entries_[LinkIndex(IndexOf(link.from), IndexOf(link.to))] = &link;
  }
  RebuildCatalogue();
}

std::size_t ShiftLoop::IndexOf(const FailureDomainName& name) const {
  const auto& domains = scenario_.deployment.domains;
  const auto found = std::find_if(
      domains.begin(), domains.end(),
      [&](const auto& domain) { return domain.failure_domain == name; });
  return static_cast<std::size_t>(found - domains.begin());
}

bool ShiftLoop::CanReach(std::size_t from, std::size_t to) const {
  const auto& domains = scenario_.deployment.domains;
  const std::string& left = domains[from].region.Value();
  const std::string& right = domains[to].region.Value();
  return left == right ||
         (!isolated_.contains(left) && !isolated_.contains(right));
}

void ShiftLoop::RebuildCatalogue() {
  std::map<EntryName, catalogue::Entry> entries;
  const auto add = [&](catalogue::EntryBody body) {
    const EntryName name(std::to_string(entries.size()));
    entries.emplace(name,
                    catalogue::Entry{.name = name, .body = std::move(body)});
  };

  const Deployment& deployment = scenario_.deployment;
  for (const auto& service : deployment.services) {
    add(service);
  }
  for (const auto& link : deployment.links) {
    add(link);
  }
  for (std::size_t domain = 0; domain < domains_.size(); ++domain) {
    add(deployment.domains[domain]);
    if (domains_[domain].is_drained) {
      add(catalogue::DrainEntry{
          .subject = catalogue::DrainSubject::kFailureDomain,
          .name = deployment.domains[domain].failure_domain.Value()});
    }
  }
  catalogue_ =
      std::make_shared<const catalogue::CatalogueView>(1, std::move(entries));
}

void ShiftLoop::Apply(const Event& event) {
  if (first_event_tick_ < 0) {
    first_event_tick_ = tick_;
  }

  const auto& places = scenario_.deployment.domains;
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    const bool is_affected =
        places[index].failure_domain.Value() == event.subject ||
        places[index].region.Value() == event.subject;
    if (!is_affected) {
      continue;
    }

    Domain& domain = domains_[index];
    switch (event.kind) {
      case EventKind::kDemand:
        for (std::size_t service = 0;
             service < scenario_.deployment.services.size(); ++service) {
          const auto& entry = scenario_.deployment.services[service];
          if (event.service.empty() || event.service == entry.service.Value()) {
            Pool& pool = PoolOf(service, index);
            pool.demand = event.value * pool.slots /
                          ToSeconds(entry.request_class.expected_service_time);
          }
        }
        break;
      case EventKind::kDrain:
      case EventKind::kUndrain:
        domain.is_drained = event.kind == EventKind::kDrain;
        break;
      case EventKind::kLose:
      case EventKind::kRestore:
        domain.is_lost = event.kind == EventKind::kLose;
        break;
      case EventKind::kMute:
      case EventKind::kUnmute:
        domain.is_muted = event.kind == EventKind::kMute;
        break;
      case EventKind::kIsolate:
        isolated_.insert(event.subject);
        break;
      case EventKind::kRejoin:
        isolated_.erase(event.subject);
        break;
    }
  }
  RebuildCatalogue();
}

void ShiftLoop::Measure() {
  const MonotonicTime now = clock_.Now();
  const auto& services = scenario_.deployment.services;

  for (std::size_t index = 0; index < domains_.size(); ++index) {
    Domain& domain = domains_[index];
    DomainLoad load{
        .failure_domain = scenario_.deployment.domains[index].failure_domain,
        .live_hosts = domain.is_lost ? 0U : 1U};
    for (std::size_t service = 0; service < services.size(); ++service) {
      const Pool& pool = PoolOf(service, index);
      load.loads.push_back(
          {.service = services[service].service,
           .demand_per_second = static_cast<double>(pool.arrivals.sum),
           .outstanding = static_cast<double>(pool.busy),
           .queued = static_cast<double>(pool.queue.size()),
           .usable_slots = domain.is_lost ? 0.0 : pool.slots,
           .refused_per_second = static_cast<double>(pool.refusals.sum),
           .shifted_in_per_second = static_cast<double>(pool.shifted.sum)});
    }

    if (!domain.is_lost) {
      domain.history.emplace_back(now, std::move(load));
    }
    while (domain.history.size() > 1 &&
           now - domain.history.front().first > kHistory) {
      domain.history.pop_front();
    }
  }
}

std::vector<DomainLoad> ShiftLoop::ViewOf(std::size_t viewer) {
  const MonotonicTime now = clock_.Now();
  std::vector<DomainLoad> view;

  for (std::size_t index = 0; index < domains_.size(); ++index) {
    const Domain& domain = domains_[index];
    const bool is_own = index == viewer;
    const bool is_received =
        is_own || (!domain.is_muted && CanReach(index, viewer));
    const Duration lag = is_own ? Duration::zero() : scenario_.lag;
    // A load that is no longer received stays at its last value and ages.
    auto& last_received = domains_[viewer].last_received[index];

    for (const auto& [time, load] : domain.history) {
      if (is_received && now - time >= lag &&
          (!last_received || time > last_received->first)) {
        last_received.emplace(time, load);
      }
    }

    if (last_received) {
      view.push_back(last_received->second);
      view.back().age = now - last_received->first;
    }
  }
  return view;
}

void ShiftLoop::PlanAll() {
  Measure();
  for (std::size_t domain = 0; domain < domains_.size(); ++domain) {
    if (!domains_[domain].is_lost) {
      PlanOne(domain);
      TrackRates(domain);
    }
  }

  double fullest = 0.0;
  double emptiest = 1.0;
  for (std::size_t index = 0; index < domains_.size(); ++index) {
    const Pool& pool = PoolOf(0, index);
    fullest = std::max(fullest, pool.busy / pool.slots);
    emptiest = std::min(emptiest, pool.busy / pool.slots);
  }
  spread_sum_ += fullest - emptiest;
  ++spread_count_;
}

void ShiftLoop::PlanOne(std::size_t index) {
  Domain& domain = domains_[index];
  const auto& places = scenario_.deployment.domains;
  const FailureDomainName& name = places[index].failure_domain;
  const std::vector<DomainLoad> view = ViewOf(index);
  const auto pending = domain.handed_out.All(clock_.Now());
  domain.plan = domain.policy->Plan(
      {.catalogue = catalogue_.get(), .domains = view, .pending = pending},
      name);

  std::vector<EntryHost> hosts;
  for (std::size_t other = 0; other < domains_.size(); ++other) {
    for (int number = 0; number < scenario_.deployment.hosts; ++number) {
      const bool is_alive = !domains_[other].is_lost && CanReach(index, other);
      hosts.push_back({.host = HostName(places[other].failure_domain.Value() +
                                        "-" + std::to_string(number)),
                       .failure_domain = places[other].failure_domain,
                       .phase = EntryHostPhase::kReady,
                       .liveness = is_alive ? EntryHostLiveness::kAlive
                                            : EntryHostLiveness::kDead});
    }
  }
  domain.lookups->Update({.catalogue = catalogue_,
                          .hosts = std::move(hosts),
                          .domains = view,
                          .plan = domain.plan,
                          .own_domain = name});

  std::vector<LinkAllowance> links;
  for (std::size_t to = 0; to < domains_.size(); ++to) {
    if (const auto* link = link_entries_[LinkIndex(index, to)]) {
      links.push_back({link->to, link->capacity});
    }
  }
  std::vector<ShiftAllowance> shifts;
  for (const PlannedShift& shift : domain.plan.shifts) {
    if (shift.from == name) {
      shifts.push_back({shift.service, shift.to, shift.rate});
    }
  }
  domain.limiter->Update(links, shifts);
}

void ShiftLoop::TrackRates(std::size_t from) {
  const MonotonicTime now = clock_.Now();
  for (std::size_t to = 0; to < domains_.size(); ++to) {
    const auto* link = link_entries_[LinkIndex(from, to)];
    if (link == nullptr) {
      continue;
    }

    double rate = 0.0;
    for (const PlannedShift& shift : domains_[from].plan.shifts) {
      if (shift.from == link->from && shift.to == link->to) {
        rate += shift.rate;
      }
    }

    Trend& trend = trends_[LinkIndex(from, to)];
    double least = rate;
    trend.window.emplace_back(now, rate);
    while (now - trend.window.front().first >= link->shift_window) {
      trend.window.pop_front();
    }
    for (const auto& [time, earlier] : trend.window) {
      least = std::min(least, earlier);
    }
    outcome_.peak_over_step = std::max(outcome_.peak_over_step,
                                       rate - least - link->shift_step - 1e-9);

    const double noise = link->capacity * kReversalFraction;
    const bool extends_trend =
        trend.direction >= 0 ? rate > trend.extreme : rate < trend.extreme;
    if (extends_trend) {
      trend.extreme = rate;
      trend.direction = trend.direction == 0 ? 1 : trend.direction;
    } else if (std::abs(rate - trend.extreme) > noise) {
      trend.direction = -trend.direction;
      trend.extreme = rate;
      ++outcome_.reversals;
    }
  }
}

int ShiftLoop::DrawArrivals(double mean) {
  // Knuth's algorithm for Poisson variates, which suits the small mean of a
  // short tick.
  const double limit = std::exp(-mean);
  int count = 0;
  for (double product = random_.NextUnit(); product > limit;
       product *= random_.NextUnit()) {
    ++count;
  }
  return count;
}

std::size_t ShiftLoop::ChooseDomain(std::size_t service, std::size_t home) {
  if (tick_ < kFirstPlanTick) {
    return home;
  }

  Pool& pool = PoolOf(service, home);
  Caller& caller = pool.callers[random_.NextBelow(kCallerGroups)];
  const MonotonicTime now = clock_.Now();
  if (now < caller.expires) {
    return caller.domain;
  }

  std::size_t answering = home;
  for (std::size_t step = 0; domains_[answering].is_lost; ++step) {
    answering = step;
  }

  const auto result = domains_[answering].lookups->Plan(
      {.service = scenario_.deployment.services[service].service,
       .nearest = scenario_.deployment.domains[home].failure_domain});
  const LookupAnswer& answer = ValueOf(result);
  caller = {IndexOf(answer.first_domain), now + answer.ttl};
  domains_[answering].handed_out.Record(
      scenario_.deployment.services[service].service, answer.first_domain,
      pool.demand / kCallerGroups, answer.ttl, now);
  return caller.domain;
}

void ShiftLoop::Arrive(std::size_t service, std::size_t home) {
  ++outcome_.requests;
  const std::size_t domain = ChooseDomain(service, home);
  const Work work{.arrived = tick_, .home = home};

  if (domains_[domain].is_lost) {
    Refuse(service, domain);
    return;
  }

  PoolOf(service, domain).arrivals.Add(tick_);
  const bool is_last_seconds =
      scenario_.length - kTick * tick_ <= std::chrono::seconds(5);
  const bool is_forwarded = TryShift(service, domain, work);
  if (is_last_seconds && domains_[domain].is_drained && !is_forwarded) {
    outcome_.home_demand_left += 1.0;
  }

  if (!is_forwarded) {
    ServeLocally(service, domain, work);
  }
}

bool ShiftLoop::TryShift(std::size_t service, std::size_t domain, Work work) {
  const auto& name = scenario_.deployment.services[service].service;
  const auto& own = scenario_.deployment.domains[domain].failure_domain;
  double point = random_.NextUnit();

  for (const PlannedShift& shift : domains_[domain].plan.shifts) {
    if (shift.service != name || shift.from != own) {
      continue;
    }

    point -= shift.fraction;
    if (point >= 0.0) {
      continue;
    }

    if (!IsOk(domains_[domain].limiter->TryForward(name, shift.to))) {
      return false;
    }

    const std::size_t to = IndexOf(shift.to);
    const std::size_t link = LinkIndex(domain, to);
    links_[link].Add(tick_);
    outcome_.peak_over_cap =
        std::max(outcome_.peak_over_cap,
                 links_[link].sum - std::floor(link_entries_[link]->capacity));
    ++outcome_.forwarded;
    forwarded_far_ += scenario_.deployment.domains[domain].region !=
                              scenario_.deployment.domains[to].region
                          ? 1U
                          : 0U;

    const std::int64_t arrival =
        tick_ + 1 + TicksOf(link_entries_[link]->latency, kTick);
    work.home = domain;
    PoolOf(service, to)
        .incoming[static_cast<std::size_t>(arrival % kRingTicks)]
        .push_back(work);
    return true;
  }
  return false;
}

void ShiftLoop::ServeLocally(std::size_t service,
                             std::size_t domain,
                             Work work) {
  Pool& pool = PoolOf(service, domain);
  if (pool.busy < static_cast<int>(pool.slots)) {
    Start(service, domain, work, Duration::zero(), false);
  } else {
    pool.queue.push_back(work);
  }
}

void ShiftLoop::ReceiveForwarded(std::size_t service,
                                 std::size_t domain,
                                 std::size_t from,
                                 Work work) {
  Pool& pool = PoolOf(service, domain);
  const auto& entry = scenario_.deployment.services[service];
  const Duration latency = link_entries_[LinkIndex(from, domain)]->latency;
  const bool is_admitted =
      !domains_[domain].is_lost && CanReach(from, domain) &&
      IsOk(AdmitForwarded({.usable_slots = pool.slots,
                           .outstanding = static_cast<double>(pool.busy),
                           .queued = static_cast<double>(pool.queue.size()),
                           .reserved_headroom = entry.reserved_headroom,
                           .is_leaving = domains_[domain].is_drained}));

  domains_[from].limiter->OnAnswer(
      entry.service, scenario_.deployment.domains[domain].failure_domain,
      is_admitted);

  if (!is_admitted) {
    ++outcome_.bounced;
    const std::int64_t back = tick_ + 1 + TicksOf(latency, kTick);
    PoolOf(service, from)
        .returning[static_cast<std::size_t>(back % kRingTicks)]
        .push_back(work);
    return;
  }

  pool.shifted.Add(tick_);
  Start(service, domain, work, latency, true);
  if (pool.busy > pool.slots * (1.0 - entry.reserved_headroom) + 1e-9) {
    ++outcome_.over_capacity;
  }
}

void ShiftLoop::Start(std::size_t service,
                      std::size_t domain,
                      Work work,
                      Duration extra,
                      bool is_shifted) {
  Pool& pool = PoolOf(service, domain);
  const auto& entry = scenario_.deployment.services[service];
  const double cold =
      is_shifted ? 1.0 + (scenario_.cold_factor - 1.0) *
                             std::exp(-pool.warm_up_requests / kWarmRequests)
                 : 1.0;
  const double seconds = -std::log(1.0 - random_.NextUnit()) * cold *
                         ToSeconds(entry.request_class.expected_service_time);
  const std::int64_t ticks = std::clamp<std::int64_t>(
      std::llround(seconds / ToSeconds(kTick)), 1, kRingTicks - 1);
  ++pool.busy;
  const auto done = static_cast<std::size_t>((tick_ + ticks) % kRingTicks);

  if (is_shifted) {
    ++pool.busy_shifted;
    ++pool.done_shifted[done];
    pool.warm_up_requests += 1.0;
  } else {
    ++pool.done[done];
  }

  const Duration latency = kTick * (tick_ - work.arrived + ticks) + extra;
  if (latency > scenario_.deployment.late_after.at(entry.service)) {
    ++outcome_.late;
  }
}

void ShiftLoop::Refuse(std::size_t service, std::size_t domain) {
  Pool& pool = PoolOf(service, domain);
  ++outcome_.refused;
  pool.refusals.Add(tick_);
  if (pool.busy_shifted > 0) {
    ++outcome_.refused_at_receiver;
  }
  const bool is_noticeable =
      pool.refusals.sum > kNoticeableFraction * pool.arrivals.sum;
  if (first_event_tick_ >= 0 && is_noticeable) {
    outcome_.relief_seconds = ToSeconds(kTick * (tick_ - first_event_tick_));
  }
}

void ShiftLoop::StepPool(std::size_t service, std::size_t domain) {
  Pool& pool = PoolOf(service, domain);
  const auto now = static_cast<std::size_t>(tick_ % kRingTicks);
  pool.arrivals.Expire(tick_);
  pool.refusals.Expire(tick_);
  pool.shifted.Expire(tick_);

  pool.busy -= pool.done[now] + pool.done_shifted[now];
  pool.busy_shifted -= pool.done_shifted[now];
  pool.done[now] = 0;
  pool.done_shifted[now] = 0;

  const auto limit =
      scenario_.deployment.services[service].request_class.queue_limit;
  while (!pool.queue.empty() &&
         kTick * (tick_ - pool.queue.front().arrived) > limit) {
    pool.queue.pop_front();
    Refuse(service, domain);
  }
  while (!pool.queue.empty() && pool.busy < static_cast<int>(pool.slots)) {
    const Work work = pool.queue.front();
    pool.queue.pop_front();
    Start(service, domain, work, Duration::zero(), false);
  }

  for (const Work& work : std::exchange(pool.returning[now], {})) {
    ServeLocally(service, domain, work);
  }
  for (const Work& work : std::exchange(pool.incoming[now], {})) {
    ReceiveForwarded(service, domain, work.home, work);
  }
}

void ShiftLoop::Step() {
  for (RollingSecond& link : links_) {
    link.Expire(tick_);
  }

  const std::size_t services = scenario_.deployment.services.size();
  for (std::size_t service = 0; service < services; ++service) {
    for (std::size_t domain = 0; domain < domains_.size(); ++domain) {
      StepPool(service, domain);
    }
    for (std::size_t domain = 0; domain < domains_.size(); ++domain) {
      const double mean = PoolOf(service, domain).demand * ToSeconds(kTick);
      const int arrivals = DrawArrivals(mean);
      for (int arrival = 0; arrival < arrivals; ++arrival) {
        Arrive(service, domain);
      }
    }
  }
}

Outcome ShiftLoop::Run() {
  std::deque<Event> events(scenario_.events.begin(), scenario_.events.end());
  const std::int64_t length = TicksOf(scenario_.length, kTick);

  for (tick_ = 0; tick_ < length; ++tick_) {
    while (!events.empty() && events.front().at <= kTick * tick_) {
      Apply(events.front());
      events.pop_front();
    }
    // Planning needs a whole second of measured arrivals.
    if (tick_ % kPlanIntervalTicks == 0 && tick_ >= kFirstPlanTick) {
      PlanAll();
    }
    Step();
    clock_.Advance(kTick);
  }

  outcome_.mean_utilisation_spread = spread_sum_ / spread_count_;
  outcome_.shifted_far = outcome_.forwarded == 0
                             ? 0.0
                             : static_cast<double>(forwarded_far_) /
                                   static_cast<double>(outcome_.forwarded);
  return outcome_;
}

}  // namespace medlarcroft::steering::scenario
