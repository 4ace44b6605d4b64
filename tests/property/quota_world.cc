#include "quota_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "medlarcroft/membership/sharing_hosts.h"

namespace medlarcroft::quota {

namespace {

constexpr std::size_t kRegions = 3;
constexpr std::size_t kDomainsPerRegion = 2;
constexpr Duration kInRegion = std::chrono::microseconds(500);
constexpr Duration kAcrossRegions = std::chrono::milliseconds(55);
constexpr Duration kLatestArrival = std::chrono::seconds(3);
constexpr Duration kFaultPeriod = std::chrono::milliseconds(100);
constexpr Duration kMaxFault = std::chrono::seconds(6);
constexpr Duration kRestartDelay = std::chrono::milliseconds(300);
constexpr Duration kInTouchAfter = std::chrono::seconds(4);
constexpr Duration kListReadTime = std::chrono::milliseconds(400);
constexpr Duration kViewPeriod = std::chrono::milliseconds(250);

}  // namespace

std::size_t AccountRecord::MostIn(Duration window) const {
  std::vector<MonotonicTime> times = admitted;
  std::ranges::sort(times);
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

struct QuotaWorld::Host final : QuotaSender, QuotaObserver {
  Host(QuotaWorld& owner, std::size_t host_index)
      : world(owner), index(host_index) {}

  [[nodiscard]] HostNumber Number() const {
    return static_cast<HostNumber>(index + 1);
  }
  [[nodiscard]] std::size_t Domain() const {
    return index % (kRegions * kDomainsPerRegion);
  }
  [[nodiscard]] std::size_t Region() const { return Domain() % kRegions; }
  [[nodiscard]] MonotonicTime Now() const {
    return MonotonicTime(
        clock_offset +
        FromSeconds(clock_rate *
                    ToSeconds(world.time_.Now().time_since_epoch())));
  }

  void Send(HostNumber host, const TokenRequest& request) override {
    world.bytes_ += EncodeTokenRequest(request).size();
    world.Deliver(*this, host, [sender = Number(), request](Host& to) {
      to.enforcer->OnRequest(sender, request, to.Now());
    });
  }
  void Send(HostNumber host, const TokenAnswer& answer) override {
    world.bytes_ += EncodeTokenAnswer(answer).size();
    world.Deliver(*this, host, [sender = Number(), answer](Host& to) {
      to.enforcer->OnAnswer(sender, answer, to.Now());
    });
  }
  void OnTokens(const ClientAccountName& account) override {
    for (std::size_t i = 0; i < world.records_.size(); ++i) {
      if (world.records_[i].account.name == account) {
        Continue(i);
      }
    }
  }
  void OnIssuerChanged(HostNumber /*issuer*/, bool /*was_silent*/) override {}

  void Continue(std::size_t account) {
    std::deque<std::uint64_t>& queue = waiting[account];
    AccountRecord& record = world.records_[account];
    while (!queue.empty()) {
      const AdmissionResult result =
          enforcer->AdmitWaiting(record.account, Now());
      if (result.admission == Admission::kWaiting) {
        return;
      }
      queue.pop_front();
      Record(record, result.admission);
    }
  }
  void Record(AccountRecord& record, Admission admission) const {
    if (admission == Admission::kAdmitted) {
      record.admitted.push_back(world.time_.Now());
    } else {
      ++record.refused;
      record.refused_unknown += admission == Admission::kUnknown ? 1 : 0;
    }
  }

  QuotaWorld& world;
  std::size_t index;
  Duration clock_offset{0};
  double clock_rate = 1;
  bool is_up = false;
  bool is_joining = false;
  MonotonicTime listed_at;
  MonotonicTime started_at;
  MonotonicTime cut_until{};
  /// Hosts that are cut at the same time are connected to each other.
  std::uint64_t cut_number = 0;
  MonotonicTime view_updated_at{};
  membership::ShareCount share_count;
  std::unique_ptr<QuotaEnforcer> enforcer;
  std::map<std::size_t, std::deque<std::uint64_t>> waiting;
  std::uint64_t last_waiting = 0;
};

QuotaWorld::QuotaWorld(const Options& options)
    : options_(options), random_(options.seed) {
  for (std::size_t i = 0; i < options.hosts; ++i) {
    AddHost(false);
  }
  time_.At(fakes::VirtualTime::kNoHost, time_.Now(), [this] { DrawFaults(); });
}

QuotaWorld::~QuotaWorld() = default;

void QuotaWorld::AddHost(bool is_joining) {
  auto host = std::make_unique<Host>(*this, hosts_.size());
  host->clock_offset = std::chrono::seconds(random_.NextBelow(100'000));
  host->clock_rate =
      1 + options_.faults.clock_error * (2 * random_.NextUnit() - 1);
  host->is_joining = is_joining;
  host->listed_at = time_.Now();
  Host& added = *hosts_.emplace_back(std::move(host));
  Start(added);
}

void QuotaWorld::Start(Host& host) {
  host.is_up = true;
  host.started_at = time_.Now();
  host.waiting.clear();
  host.share_count = {};
  host.enforcer = std::make_unique<QuotaEnforcer>(
      QuotaEnforcer::Options{
          .self = host.Number(),
          .incarnation = static_cast<std::uint16_t>(random_.Next()),
          .first_request = static_cast<std::uint32_t>(random_.Next()),
          .started_at = host.Now()},
      host, host);
  if (host.is_joining) {
    host.enforcer->PostponeOwnShare(host.Now() + kInTouchAfter -
                                    (time_.Now() - host.listed_at));
  }
  host.enforcer->SetAccounts(Accounts(), host.Now());
  UpdateView(host);
  // The list of hosts is there after the process has started.
  time_.At(static_cast<int>(host.index), time_.Now() + kListReadTime,
           [this, &host] {
             if (time_.Now() >= host.cut_until) {
               host.enforcer->ConfirmUnusedShare(host.Now());
             }
           });
  Tick(host);
}

void QuotaWorld::Tick(Host& host) {
  if (time_.Now() - host.view_updated_at >= kViewPeriod) {
    UpdateView(host);
  }
  host.enforcer->Advance(host.Now());
  time_.At(static_cast<int>(host.index), time_.Now() + kQuotaTickPeriod,
           [this, &host] { Tick(host); });
}

// A host that is connected counts all hosts that were listed long enough ago.
// One that is cut off keeps its list.
void QuotaWorld::UpdateView(Host& host) {
  host.view_updated_at = time_.Now();
  const bool is_cut = time_.Now() < host.cut_until;
  std::vector<QuotaCandidate> candidates;
  std::uint32_t listed = 0;
  for (const auto& other : hosts_) {
    const MonotonicTime known_at =
        other->listed_at + std::chrono::milliseconds(random_.NextBelow(4000));
    const bool is_known = !other->is_joining || other.get() == &host ||
                          (!is_cut && time_.Now() >= known_at);
    if (!is_known) {
      continue;
    }
    ++listed;
    const bool is_live = other->is_up && AreConnected(host, *other) &&
                         !time_.IsPaused(static_cast<int>(other->index));
    candidates.push_back(
        {.number = other->Number(),
         .failure_domain = FailureDomainName(std::to_string(other->Domain())),
         .region = RegionName(std::to_string(other->Region())),
         .link_mbps = other->index % 5 == 0 ? 200.0 : 10.0,
         .is_ready = other->Region() == host.Region() && is_live});
  }
  const QuotaCandidate self{
      .number = host.Number(),
      .failure_domain = FailureDomainName(std::to_string(host.Domain())),
      .region = RegionName(std::to_string(host.Region()))};
  QuotaHosts hosts = MakeQuotaHosts(candidates, self, options_.group);
  hosts.listed = host.share_count.Update(listed, !is_cut, host.Now());
  host.enforcer->SetHosts(std::move(hosts));
}

void QuotaWorld::AddAccount(const routing::ClientAccount& account,
                            double demand,
                            std::size_t hosts_used) {
  records_.push_back(
      {.account = account, .demand = demand, .hosts_used = hosts_used});
  for (const auto& host : hosts_) {
    host->enforcer->SetAccounts(Accounts(), host->Now());
  }
  ScheduleArrival(records_.size() - 1);
}

void QuotaWorld::SetQuota(std::size_t account, const routing::Quota& quota) {
  records_[account].account.quota = quota;
  for (const auto& host : hosts_) {
    const Duration delay = std::chrono::milliseconds(random_.NextBelow(1000));
    time_.At(static_cast<int>(host->index), time_.Now() + delay,
             [this, receiver = host.get()] {
               receiver->enforcer->SetAccounts(Accounts(), receiver->Now());
             });
  }
}

std::vector<std::shared_ptr<const routing::ClientAccount>>
QuotaWorld::Accounts() const {
  std::vector<std::shared_ptr<const routing::ClientAccount>> accounts;
  accounts.reserve(records_.size());
  for (const AccountRecord& record : records_) {
    accounts.push_back(
        std::make_shared<const routing::ClientAccount>(record.account));
  }
  return accounts;
}

void QuotaWorld::ScheduleArrival(std::size_t account) {
  const double pause =
      -std::log(1.0 - random_.NextUnit()) / records_[account].demand;
  time_.At(fakes::VirtualTime::kNoHost, time_.Now() + FromSeconds(pause),
           [this, account] {
             Arrive(account);
             ScheduleArrival(account);
           });
}

void QuotaWorld::Arrive(std::size_t account) {
  AccountRecord& record = records_[account];
  // Coprime to the numbers of hosts, so that callers use hosts of all domains.
  constexpr std::size_t kStride = 13;
  const std::size_t used = std::min(record.hosts_used, hosts_.size());
  const std::size_t chosen =
      (account + random_.NextBelow(used) * kStride) % hosts_.size();
  Host& host = *hosts_[chosen];
  if (!host.is_up || time_.IsPaused(static_cast<int>(chosen))) {
    return;
  }
  const AdmissionResult result =
      host.enforcer->Admit(record.account, host.Now());
  if (result.admission != Admission::kWaiting) {
    host.Record(record, result.admission);
    return;
  }
  const std::uint64_t ticket = ++host.last_waiting;
  host.waiting[account].push_back(ticket);
  time_.At(static_cast<int>(chosen), time_.Now() + kMaxTokenWait,
           [this, &host, account, ticket] {
             std::deque<std::uint64_t>& queue = host.waiting[account];
             const auto found = std::ranges::find(queue, ticket);
             if (found != queue.end()) {
               queue.erase(found);
               AccountRecord& waited = records_[account];
               host.Record(waited,
                           host.enforcer->EndWait(waited.account, host.Now()));
             }
           });
}

void QuotaWorld::DrawFaults() {
  const double period = ToSeconds(kFaultPeriod);
  const auto happens = [&](double per_second) {
    return random_.NextUnit() < per_second * period;
  };
  const auto duration = [&] {
    return FromSeconds(random_.NextUnit() * ToSeconds(kMaxFault));
  };
  const QuotaFaults& faults = options_.faults;
  if (happens(faults.cuts)) {
    const std::uint64_t number = random_.Next();
    const MonotonicTime until = time_.Now() + duration();
    const double part = random_.NextUnit();
    for (const auto& host : hosts_) {
      if (random_.NextUnit() < part) {
        host->cut_until = until;
        host->cut_number = number;
      }
    }
  }
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    if (happens(faults.kills)) {
      Kill(host, kRestartDelay + duration() / 4);
    }
    if (happens(faults.freezes)) {
      Freeze(host, duration());
    }
  }
  if (happens(faults.joins)) {
    AddHost(true);
  }
  time_.At(fakes::VirtualTime::kNoHost, time_.Now() + kFaultPeriod,
           [this] { DrawFaults(); });
}

void QuotaWorld::Cut(std::size_t hosts, Duration duration) {
  for (std::size_t i = 0; i < hosts; ++i) {
    hosts_[i]->cut_until = time_.Now() + duration;
    hosts_[i]->cut_number = 1;
  }
}

void QuotaWorld::Kill(std::size_t host, Duration down) {
  Host& killed = *hosts_[host];
  if (!killed.is_up) {
    return;
  }
  killed.is_up = false;
  time_.Kill(static_cast<int>(host));
  time_.Pause(static_cast<int>(host), time_.Now());
  time_.At(fakes::VirtualTime::kNoHost, time_.Now() + down,
           [this, &killed] { Start(killed); });
}

void QuotaWorld::Freeze(std::size_t host, Duration duration) {
  if (hosts_[host]->is_up) {
    time_.Pause(static_cast<int>(host), time_.Now() + duration);
  }
}

void QuotaWorld::ClearRecords() {
  for (AccountRecord& record : records_) {
    record.admitted.clear();
    record.refused = 0;
    record.refused_unknown = 0;
  }
}

void QuotaWorld::RunFor(Duration duration) {
  time_.RunUntil(time_.Now() + duration);
}

bool QuotaWorld::AreConnected(const Host& left, const Host& right) const {
  const auto side = [this](const Host& host) {
    return time_.Now() < host.cut_until ? host.cut_number : 0;
  };
  return side(left) == side(right);
}

Duration QuotaWorld::Latency(const Host& from, const Host& to) {
  const Duration base =
      from.Region() == to.Region() ? kInRegion : kAcrossRegions;
  constexpr double kJitter = 0.1;
  Duration latency =
      base + FromSeconds(kJitter * ToSeconds(base) * random_.NextUnit());
  if (random_.NextUnit() < options_.faults.late) {
    latency += FromSeconds(ToSeconds(kLatestArrival) * random_.NextUnit());
  }
  return latency;
}

void QuotaWorld::Deliver(Host& from,
                         HostNumber to,
                         const std::function<void(Host&)>& apply) {
  ++messages_;
  Host& receiver = *hosts_.at(to - 1);
  if (!AreConnected(from, receiver) ||
      random_.NextUnit() < options_.faults.loss) {
    return;
  }
  const int copies = random_.NextUnit() < options_.faults.repeat ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    // The receiver may have restarted when the message arrives.
    time_.At(fakes::VirtualTime::kNoHost, time_.Now() + Latency(from, receiver),
             [this, &receiver, apply] {
               const int index = static_cast<int>(receiver.index);
               if (!receiver.is_up) {
                 return;
               }
               time_.At(index, time_.Now(),
                        [&receiver, apply] { apply(receiver); });
             });
  }
}

}  // namespace medlarcroft::quota
