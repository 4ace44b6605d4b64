#include "adapters/steer/steer_core.h"

#include <algorithm>
#include <utility>

#include "adapters/peer/wire_conversion.h"
#include "adapters/steer/snapshot_builder.h"
#include "adapters/steer/steering_view.h"
#include "medlarcroft/membership/rendezvous_hash.h"

namespace medlarcroft::adapters {

namespace {

/// entryd reports four times a second. A host without a report for this long
/// has no working request path and is not offered to callers.
constexpr Duration kEntryReportTimeout = std::chrono::milliseconds(1200);

/// The platform's host list is read every few seconds. An older list is no
/// evidence that a host is gone.
constexpr Duration kHostListMaxAge = std::chrono::seconds(15);

/// Requests per second expected from one look-up answer until the demand of
/// the service has been measured.
constexpr double kDefaultDemandPerAnswer = 1.0;

/// Upper limit of the expected demand of one look-up answer, in requests per
/// second.
constexpr double kMaxDemandPerAnswer = 50.0;

/// Measurements arrive at most once a second. Planning more often gains nothing
/// and takes most of a host's share of a CPU core when it has many services.
constexpr Duration kPlanPeriod = std::chrono::milliseconds(500);

/// Weight of the newest sample in the moving average of the answer rate.
constexpr double kAnswerRateSmoothing = 0.2;

membership::HostState InitialState(const SteerIdentity& identity,
                                   const ports::Clock& clock) {
  membership::HostState state;
  state.host = identity.host;
  state.failure_domain = identity.failure_domain;
  state.number.incarnation = membership::FirstIncarnation(clock.WallNow());
  state.lookup_address = identity.lookup_address;
  state.peer_address = identity.peer_address;
  state.entry_address = identity.entry_address;
  return state;
}

std::int64_t WallMicroseconds(const ports::Clock& clock) {
  return clock.WallNow().time_since_epoch() / std::chrono::microseconds(1);
}

}  // namespace

SteerCore::SteerCore(SteerIdentity identity,
                     const ports::Clock& clock,
                     ports::RandomSource& random)
    : identity_(std::move(identity)),
      clock_(clock),
      catalogue_(std::make_shared<const catalogue::CatalogueView>()),
      members_({}, InitialState(identity_, clock), clock),
      targets_({}, clock),
      lookup_planner_(clock, random),
      shift_planner_(clock),
      observation_sequence_(
          static_cast<std::uint64_t>(WallMicroseconds(clock))),
      last_plan_update_(clock.Now()),
      snapshot_number_(WallMicroseconds(clock)) {}

void SteerCore::ApplyCatalogue(catalogue::SharedCatalogueView view) {
  const std::lock_guard lock(mutex_);
  if (view->Revision() < catalogue_->Revision()) {
    return;
  }
  catalogue_ = std::move(view);
  std::set<TargetName> drained;
  for (const auto& [name, entry] : catalogue_->Entries()) {
    const auto* drain = std::get_if<catalogue::DrainEntry>(&entry.body);
    if (drain != nullptr &&
        drain->subject == catalogue::DrainSubject::kTarget) {
      drained.insert(TargetName(drain->name));
    }
  }
  targets_.SetDrained(std::move(drained));
  UpdatePlans();
}

void SteerCore::ApplyReport(const wire::EntryReport& report) {
  const std::lock_guard lock(mutex_);
  last_report_at_ = clock_.Now();
  is_entry_leaving_ = report.is_leaving;
  hosts_to_probe_.clear();
  for (const std::string& host : report.wants_called) {
    hosts_to_probe_.insert(HostName(host));
  }
  for (const wire::TargetObservation& seen : report.observations) {
    membership::TargetObservation observation = FromWire(seen);
    observation.observer = identity_.host;
    observation.sequence = ++observation_sequence_;
    static_cast<void>(targets_.Receive(observation));
  }
  members_.UpdateSelf([&report](membership::HostState& self) {
    self.loads.clear();
    for (const wire::ServiceLoad& load : report.loads) {
      self.loads.push_back(FromWire(load));
    }
    self.seats.clear();
    for (const auto& [domain, seat] : report.seats) {
      self.seats[FailureDomainName(domain)] =
          static_cast<std::uint32_t>(std::max(0, seat));
    }
    self.entry_address = report.entry_address;
    self.share_address = report.share_address;
  });
  UpdateSelf();
}

void SteerCore::ApplyHostList(std::vector<ports::ListedHost> hosts) {
  const std::lock_guard lock(mutex_);
  members_.ApplyHostList(hosts);
  targets_.ApplyHostList(hosts);
  host_list_read_at_ = clock_.Now();
  listed_hosts_.clear();
  for (ports::ListedHost& host : hosts) {
    const std::string name = host.name;
    listed_hosts_[name] = std::move(host);
  }
}

void SteerCore::Receive(const membership::ExchangeContent& content) {
  const std::lock_guard lock(mutex_);
  membership::ApplyExchange(content, members_, targets_);
}

void SteerCore::RecordAnswer(const HostName& host) {
  const std::lock_guard lock(mutex_);
  members_.RecordAnswer(host);
}

void SteerCore::RecordFailedCall(const HostName& host) {
  const std::lock_guard lock(mutex_);
  members_.RecordFailedCall(host);
}

void SteerCore::AnnounceLeaving() {
  const std::lock_guard lock(mutex_);
  is_leaving_ = true;
  UpdateSelf();
}

void SteerCore::Tick() {
  const std::lock_guard lock(mutex_);
  static_cast<void>(members_.Tick());
  UpdateSelf();
  if (clock_.Now() - last_plan_update_ >= kPlanPeriod) {
    UpdatePlans();
  }
}

Result<steering::LookupAnswer, steering::LookupError> SteerCore::Lookup(
    const LookupQuery& query) {
  const steering::BlockMapHolder::Shared block_map =
      client_block_map_.Current();

  const std::lock_guard lock(mutex_);
  steering::LookupRequest request{.service = query.service,
                                  .brand = query.brand};
  if (query.client) {
    request.nearest = block_map->FindNearest(*query.client, *catalogue_);
  }
  auto answer = lookup_planner_.Plan(request);
  if (IsOk(answer)) {
    RecordHandedOutDemand(ValueOf(answer), query.service);
  }
  return answer;
}

void SteerCore::RecordHandedOutDemand(const steering::LookupAnswer& answer,
                                      const ServiceName& service) {
  ++answers_since_plan_update_[service];
  // The demand per answer is the demand of the failure domain divided by the
  // number of answers whose TTL has not expired.
  const auto rate = answers_per_second_.find(service);
  const double in_use = rate == answers_per_second_.end()
                            ? 0.0
                            : rate->second * ToSeconds(answer.ttl);
  double demand = kDefaultDemandPerAnswer;
  for (const membership::ServiceLoad& load : members_.Self().loads) {
    if (load.service == service && in_use >= 1.0) {
      demand = std::min(load.demand_per_second / in_use, kMaxDemandPerAnswer);
    }
  }
  handed_out_.Record(service, answer.first_domain, demand, answer.ttl,
                     clock_.Now());
}

wire::RoutingSnapshot SteerCore::MakeSnapshot() {
  const std::lock_guard lock(mutex_);
  wire::RoutingSnapshot snapshot =
      BuildSnapshot({.catalogue = *catalogue_,
                     .own_domain = identity_.failure_domain,
                     .siblings = SiblingDomains(),
                     .members = members_.Members(),
                     .targets = targets_,
                     .plan = shift_plan_,
                     .now = clock_.Now()});
  // Number 0 means that no catalogue has been read yet; entryd then keeps the
  // routes it has.
  snapshot.number = catalogue_->Revision() == 0 ? 0 : ++snapshot_number_;
  snapshot.is_leaving = is_leaving_;
  snapshot.is_host_list_fresh =
      host_list_read_at_ &&
      clock_.Now() - *host_list_read_at_ < kHostListMaxAge;
  return snapshot;
}

membership::ExchangeContent SteerCore::MakeExchange(
    std::size_t message_bytes,
    const FailureDomainName& receiver) {
  const std::lock_guard lock(mutex_);
  membership::ExchangeContent content =
      exchange_selector_.Select(members_, targets_, message_bytes);
  // A host that is first seen without its addresses can't be called back, so
  // two hosts of a failure domain would regard each other as dead for half a
  // minute. Sending the addresses in every message prevents this at a cost of
  // 80 bytes per message.
  const membership::HostState& self = members_.Self();
  content.sender.lookup_address = self.lookup_address;
  content.sender.peer_address = self.peer_address;
  content.sender.entry_address = self.entry_address;
  content.sender.share_address = self.share_address;
  if (receiver != identity_.failure_domain) {
    // The receiver plans its load shifts from this summary and measures the
    // age of the summary from now on.
    content.summaries.insert(content.summaries.begin(), members_.Summarise());
  }
  return content;
}

void SteerCore::UpdateSelf() {
  const membership::HostPhase phase = CurrentPhase();
  const std::uint64_t revision = catalogue_->Revision();
  const membership::HostState& self = members_.Self();
  if (self.phase == phase && self.catalogue_revision == revision) {
    return;
  }
  members_.UpdateSelf([phase, revision](membership::HostState& state) {
    state.phase = phase;
    state.catalogue_revision = revision;
  });
}

membership::HostPhase SteerCore::CurrentPhase() const {
  if (is_leaving_ || is_entry_leaving_) {
    return membership::HostPhase::kLeaving;
  }
  const bool is_ready = catalogue_->Revision() > 0 && IsEntryConnectedLocked();
  return is_ready ? membership::HostPhase::kReady
                  : membership::HostPhase::kStarting;
}

bool SteerCore::IsEntryConnectedLocked() const {
  return last_report_at_ &&
         clock_.Now() - *last_report_at_ < kEntryReportTimeout;
}

void SteerCore::UpdatePlans() {
  const MonotonicTime now = clock_.Now();
  const double elapsed = ToSeconds(now - last_plan_update_);
  if (elapsed > 0) {
    for (auto& [service, count] : answers_since_plan_update_) {
      double& rate = answers_per_second_[service];
      rate +=
          kAnswerRateSmoothing * (static_cast<double>(count) / elapsed - rate);
      count = 0;
    }
    last_plan_update_ = now;
  }

  const std::vector<steering::DomainLoad> domains = DomainLoadsOf(members_);
  const std::vector<steering::PendingDemand> pending = handed_out_.All(now);
  shift_plan_ = shift_planner_.Plan(
      {.catalogue = catalogue_.get(), .domains = domains, .pending = pending});
  lookup_planner_.Update({.catalogue = catalogue_,
                          .hosts = EntryHostsOf(members_, *catalogue_),
                          .domains = domains,
                          .plan = shift_plan_,
                          .own_domain = identity_.failure_domain});
}

std::set<FailureDomainName> SteerCore::SiblingDomains() const {
  std::set<FailureDomainName> siblings;
  const auto* own = catalogue_->FindFailureDomain(identity_.failure_domain);
  if (own == nullptr) {
    return siblings;
  }
  for (const catalogue::FailureDomainEntry* domain :
       catalogue_->FailureDomains()) {
    if (domain->region == own->region &&
        domain->failure_domain != identity_.failure_domain) {
      siblings.insert(domain->failure_domain);
    }
  }
  return siblings;
}

std::vector<membership::Member> SteerCore::ExchangePartners() const {
  const std::lock_guard lock(mutex_);
  std::vector<membership::Member> partners = members_.Members();
  for (membership::Member& partner : partners) {
    const auto listed = listed_hosts_.find(partner.state.host.Value());
    if (listed == listed_hosts_.end()) {
      continue;
    }
    // The host's own statement takes precedence over the platform's list, which
    // lags behind.
    if (partner.state.peer_address.empty()) {
      partner.state.peer_address = listed->second.address;
    }
    if (partner.state.failure_domain.IsEmpty()) {
      partner.state.failure_domain = listed->second.failure_domain;
    }
  }
  return partners;
}

bool SteerCore::IsAssignedTo(std::string_view task, std::size_t count) const {
  const std::lock_guard lock(mutex_);
  const std::vector<HostName> live = members_.LiveHosts();
  const std::vector<HostName> assigned_hosts =
      membership::ChooseHostsByRendezvousHash(task, live, count);
  return std::ranges::find(assigned_hosts, identity_.host) !=
         assigned_hosts.end();
}

std::set<HostName> SteerCore::HostsToProbe() const {
  const std::lock_guard lock(mutex_);
  return hosts_to_probe_;
}

catalogue::SharedCatalogueView SteerCore::Catalogue() const {
  const std::lock_guard lock(mutex_);
  return catalogue_;
}

std::vector<membership::Member> SteerCore::Members() const {
  const std::lock_guard lock(mutex_);
  return members_.Members();
}

membership::HostState SteerCore::Self() const {
  const std::lock_guard lock(mutex_);
  return members_.Self();
}

steering::ShiftPlan SteerCore::Plan() const {
  const std::lock_guard lock(mutex_);
  return shift_plan_;
}

std::vector<steering::DomainLoad> SteerCore::DomainLoads() const {
  const std::lock_guard lock(mutex_);
  return DomainLoadsOf(members_);
}

bool SteerCore::IsEntryConnected() const {
  const std::lock_guard lock(mutex_);
  return IsEntryConnectedLocked();
}

bool SteerCore::IsLeaving() const {
  const std::lock_guard lock(mutex_);
  return is_leaving_;
}

std::optional<Duration> SteerCore::HostListAge() const {
  const std::lock_guard lock(mutex_);
  if (!host_list_read_at_) {
    return std::nullopt;
  }
  return clock_.Now() - *host_list_read_at_;
}

membership::MergedTargetStatus SteerCore::MergedStatusOf(
    const TargetName& target) const {
  const std::lock_guard lock(mutex_);
  return targets_.MergedStatusOf(target);
}

}  // namespace medlarcroft::adapters
