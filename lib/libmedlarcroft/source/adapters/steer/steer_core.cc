#include "adapters/steer/steer_core.h"

#include <algorithm>
#include <utility>

#include "adapters/peer/wire_conversion.h"
#include "adapters/steer/snapshot_builder.h"
#include "adapters/steer/steering_view.h"
#include "medlarcroft/membership/rendezvous_hash.h"

namespace medlarcroft::adapters {

namespace {

/// entryd reports four times a second; a host whose request path is silent for
/// so long is not offered to callers.
constexpr Duration kEntrySilence = std::chrono::milliseconds(1200);

/// The platform's list is read every few seconds; an older one shows nobody as
/// gone.
constexpr Duration kHostListFresh = std::chrono::seconds(15);

/// A first guess of what one caller brings, until demand was measured.
constexpr double kDefaultDemandPerAnswer = 1.0;

constexpr double kMaxDemandPerAnswer = 50.0;

/// Measurements arrive once a second at best; planning more often costs a host
/// with many services most of its share of a core and shows nothing new.
constexpr Duration kPlanPeriod = std::chrono::milliseconds(500);

/// Weight of the newest tick in the rate of answers.
constexpr double kRateSmoothing = 0.2;

membership::HostState FirstState(const SteerIdentity& identity,
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
      members_({}, FirstState(identity_, clock), clock),
      targets_({}, clock),
      lookups_(clock, random),
      shifts_(clock),
      observation_sequence_(
          static_cast<std::uint64_t>(WallMicroseconds(clock))),
      ticked_at_(clock.Now()),
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
  reported_at_ = clock_.Now();
  is_entry_leaving_ = report.is_leaving;
  wants_called_.clear();
  for (const std::string& host : report.wants_called) {
    wants_called_.insert(HostName(host));
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
  listed_at_ = clock_.Now();
  listed_.clear();
  for (ports::ListedHost& host : hosts) {
    const std::string name = host.name;
    listed_[name] = std::move(host);
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

void SteerCore::Announce() {
  const std::lock_guard lock(mutex_);
  is_announced_ = true;
  UpdateSelf();
}

void SteerCore::Tick() {
  const std::lock_guard lock(mutex_);
  static_cast<void>(members_.Tick());
  UpdateSelf();
  if (clock_.Now() - ticked_at_ >= kPlanPeriod) {
    UpdatePlans();
  }
}

Result<steering::LookupAnswer, steering::LookupError> SteerCore::Lookup(
    const LookupQuestion& question) {
  const steering::BlockMapHolder::Shared blocks = blocks_.Current();

  const std::lock_guard lock(mutex_);
  steering::LookupRequest request{.service = question.service,
                                  .brand = question.brand};
  if (question.client) {
    request.nearest = blocks->FindNearest(*question.client, *catalogue_);
  }
  auto answer = lookups_.Plan(request);
  if (IsOk(answer)) {
    CountHandedOut(ValueOf(answer), question.service);
  }
  return answer;
}

void SteerCore::CountHandedOut(const steering::LookupAnswer& answer,
                               const ServiceName& service) {
  ++answers_since_tick_[service];
  // What one caller brings is the domain's demand, spread over the answers that
  // are in use now.
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
                     .plan = plan_,
                     .now = clock_.Now()});
  // Nothing was ever read: entryd goes on with what it has.
  snapshot.number = catalogue_->Revision() == 0 ? 0 : ++snapshot_number_;
  snapshot.is_leaving = is_announced_;
  snapshot.is_host_list_fresh =
      listed_at_ && clock_.Now() - *listed_at_ < kHostListFresh;
  return snapshot;
}

membership::ExchangeContent SteerCore::MakeExchange(
    std::size_t message_bytes,
    const FailureDomainName& receiver) {
  const std::lock_guard lock(mutex_);
  membership::ExchangeContent content =
      selector_.Select(members_, targets_, message_bytes);
  // Failure: a host first heard without its addresses cannot be called back.
  // Symptom: two hosts of a domain take each other for dead for half a minute.
  // Eighty bytes a message are the smaller cost.
  const membership::HostState& self = members_.Self();
  content.sender.lookup_address = self.lookup_address;
  content.sender.peer_address = self.peer_address;
  content.sender.entry_address = self.entry_address;
  content.sender.share_address = self.share_address;
  if (receiver != identity_.failure_domain) {
    // What the receiver plans its shifts from. It counts the age from here.
    content.summaries.insert(content.summaries.begin(), members_.Summarise());
  }
  return content;
}

void SteerCore::UpdateSelf() {
  const membership::HostPhase phase = PhaseNow();
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

membership::HostPhase SteerCore::PhaseNow() const {
  if (is_announced_ || is_entry_leaving_) {
    return membership::HostPhase::kLeaving;
  }
  const bool is_ready = catalogue_->Revision() > 0 && IsEntryConnectedLocked();
  return is_ready ? membership::HostPhase::kReady
                  : membership::HostPhase::kStarting;
}

bool SteerCore::IsEntryConnectedLocked() const {
  return reported_at_ && clock_.Now() - *reported_at_ < kEntrySilence;
}

void SteerCore::UpdatePlans() {
  const MonotonicTime now = clock_.Now();
  const double elapsed = ToSeconds(now - ticked_at_);
  if (elapsed > 0) {
    for (auto& [service, count] : answers_since_tick_) {
      double& rate = answers_per_second_[service];
      rate += kRateSmoothing * (static_cast<double>(count) / elapsed - rate);
      count = 0;
    }
    ticked_at_ = now;
  }

  const std::vector<steering::DomainLoad> domains = DomainLoadsOf(members_);
  const std::vector<steering::PendingDemand> pending = handed_out_.All(now);
  plan_ = shifts_.Plan(
      {.catalogue = catalogue_.get(), .domains = domains, .pending = pending});
  lookups_.Update({.catalogue = catalogue_,
                   .hosts = EntryHostsOf(members_, *catalogue_),
                   .domains = domains,
                   .plan = plan_,
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
    const auto listed = listed_.find(partner.state.host.Value());
    if (listed == listed_.end()) {
      continue;
    }
    // What the host says itself goes before the platform's list, which lags.
    if (partner.state.peer_address.empty()) {
      partner.state.peer_address = listed->second.address;
    }
    if (partner.state.failure_domain.IsEmpty()) {
      partner.state.failure_domain = listed->second.failure_domain;
    }
  }
  return partners;
}

bool SteerCore::IsRelayFor(std::string_view task, std::size_t count) const {
  const std::lock_guard lock(mutex_);
  const std::vector<HostName> live = members_.LiveHosts();
  const std::vector<HostName> relays =
      membership::ChooseHostsByRendezvousHash(task, live, count);
  return std::ranges::find(relays, identity_.host) != relays.end();
}

std::set<HostName> SteerCore::WantsCalled() const {
  const std::lock_guard lock(mutex_);
  return wants_called_;
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
  return plan_;
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
  return is_announced_;
}

std::optional<Duration> SteerCore::HostListAge() const {
  const std::lock_guard lock(mutex_);
  if (!listed_at_) {
    return std::nullopt;
  }
  return clock_.Now() - *listed_at_;
}

membership::MergedTargetStatus SteerCore::MergedStatusOf(
    const TargetName& target) const {
  const std::lock_guard lock(mutex_);
  return targets_.MergedStatusOf(target);
}

}  // namespace medlarcroft::adapters
