#include "scenarios/simulator.h"

#include <cmath>
#include <stdexcept>

namespace medlarcroft::scenarios {
namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(500);
constexpr Duration kReportLag = std::chrono::milliseconds(200);
constexpr Duration kSnapshotLag = std::chrono::seconds(2);
constexpr Duration kRunOutTime = std::chrono::seconds(60);
constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr int kMaxAdvances = 1000;

}  // namespace

Simulator::Simulator(const Scenario& scenario,
                     const Variant& variant,
                     const Deployment& deployment)
    : scenario_(scenario),
      variant_(variant),
      deployment_(deployment),
      random_(scenario.seed) {
  MakeTargets();
  MakeHosts();
}

RunFigures Simulator::Run() {
  Configure();
  SendReports();
  for (const Fault& fault : scenario_.faults) {
    Schedule(fault.from, [this] { Configure(); });
    Schedule(fault.from + kSnapshotLag, [this] { Configure(); });
  }
  for (std::size_t service = 0; service < deployment_.services.size();
       ++service) {
    ScheduleArrival(service);
  }

  while (!queue_.empty() && queue_.top().at < scenario_.length + kRunOutTime) {
    const Event event = queue_.top();
    queue_.pop();
    now_ = event.at;
    event.run();
  }
  CountUnanswered();
  return std::move(figures_);
}

void Simulator::MakeTargets() {
  for (const ServiceModel& model : deployment_.services) {
    for (std::size_t i = 0; i < model.target_count; ++i) {
      const std::string name = model.target_prefix + "-" + std::to_string(i);
      targets_.try_emplace(name, name, i, model.slots,
                           std::span<const Fault>(scenario_.faults));
    }
  }
}

void Simulator::MakeHosts() {
  for (std::size_t host = 0; host < deployment_.hosts; ++host) {
    EntryHost entry;
    entry.random =
        std::make_unique<fakes::SeededRandom>(scenario_.seed * 1000 + host);
    entry.scheduler = std::make_unique<decision::RequestScheduler>(
        variant_.options, *entry.random);
    // The hosts have run for long enough to use their fixed amount of retries.
    entry.scheduler->Configure({},
                               Now() - variant_.options.retries.limit.window);
    hosts_.push_back(std::move(entry));
  }
  for (const ServiceModel& model : deployment_.services) {
    figures_.services.push_back(
        {.service = model.config.service.Value(),
         .deadline = model.config.request_class.deadline,
         .capacity = model.Capacity() *
                     ToSeconds(scenario_.length - scenario_.warm_up)});
  }
}

void Simulator::Schedule(Duration at, std::function<void()> run) {
  queue_.push({.at = at, .order = ++events_, .run = std::move(run)});
}

MonotonicTime Simulator::Now() const {
  return kStart + now_;
}

double Simulator::LoadNow() const {
  double times = 0;
  for (const LoadStep& step : scenario_.load) {
    if (now_ >= step.from)
      times = step.times;
  }
  return times;
}

Duration Simulator::Exponential(double mean_seconds) {
  return FromSeconds(-std::log(1.0 - random_.NextUnit()) * mean_seconds);
}

void Simulator::Configure() {
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    std::vector<decision::ServiceConfig> configs;
    for (const ServiceModel& model : deployment_.services) {
      configs.push_back(ConfigFor(model, host));
    }
    hosts_[host].scheduler->Configure(configs, Now());
    Advance(host);
  }
}

decision::ServiceConfig Simulator::ConfigFor(const ServiceModel& model,
                                             std::size_t host) const {
  decision::ServiceConfig config = model.config;
  for (const BrandDemand& brand : scenario_.brands) {
    config.brands.push_back(
        {.brand = BrandName(brand.name), .weight = brand.weight});
  }
  for (std::size_t i = 0; i < model.target_count; ++i) {
    const TargetModel& target =
        targets_.at(model.target_prefix + "-" + std::to_string(i));
    if (!target.IsPresent(now_))
      continue;

    const auto hosts = static_cast<std::uint32_t>(hosts_.size());
    const auto turn = static_cast<std::uint32_t>((host + i) % hosts);
    const std::uint32_t share =
        model.slots / hosts + (turn < model.slots % hosts ? 1 : 0);
    const Duration listed = now_ - kSnapshotLag;
    const bool is_listed_leaving =
        target.FaultAt(FaultKind::kLeaving, listed) != nullptr ||
        target.FaultAt(FaultKind::kLeavingQuietly, listed) != nullptr;
    config.targets.push_back({.name = TargetName(target.Name()),
                              .slots = model.slots,
                              .share = share,
                              .is_leaving = is_listed_leaving});
  }
  return config;
}

void Simulator::SendReports() {
  for (const auto& [name, target] : targets_) {
    if (target.FaultAt(FaultKind::kNoReports, now_) != nullptr)
      continue;
    const bool is_lying = target.FaultAt(FaultKind::kLying, now_) != nullptr;
    const std::uint32_t reported = is_lying ? 0 : target.Busy();
    Schedule(now_ + kReportLag,
             [this, target_name = TargetName(name), reported] {
               for (EntryHost& host : hosts_) {
                 host.scheduler->OnTargetReport(target_name, reported,
                                                kReportLag, Now());
               }
             });
  }
  if (now_ < scenario_.length) {
    Schedule(now_ + kReportInterval, [this] { SendReports(); });
  }
}

void Simulator::ScheduleArrival(std::size_t service) {
  const double rate =
      std::max(deployment_.services[service].Capacity() * LoadNow(), 1e-3);
  const Duration at = now_ + Exponential(1.0 / rate);
  if (at >= scenario_.length)
    return;
  Schedule(at, [this, service] { Arrive(service); });
}

std::size_t Simulator::ChooseBrand() {
  double total = 0;
  for (const BrandDemand& brand : scenario_.brands)
    total += brand.demand;
  double place = random_.NextUnit() * total;
  std::size_t chosen = 0;
  while (chosen + 1 < scenario_.brands.size() &&
         place >= scenario_.brands[chosen].demand) {
    place -= scenario_.brands[chosen].demand;
    ++chosen;
  }
  return chosen;
}

void Simulator::Arrive(std::size_t service) {
  ScheduleArrival(service);
  Submit({.service = service, .brand = ChooseBrand(), .arrived = now_});
}

void Simulator::ScheduleCallerReturn(const Request& request,
                                     Duration retry_after) {
  constexpr int kMaxReturns = 2;
  if (!scenario_.has_returning_callers || retry_after == Duration(0))
    return;
  if (request.returns >= kMaxReturns)
    return;

  const Request again{.service = request.service,
                      .brand = request.brand,
                      .arrived = now_ + retry_after,
                      .returns = request.returns + 1};
  Schedule(again.arrived, [this, again] { Submit(again); });
}

void Simulator::Submit(Request request) {
  const std::size_t service = request.service;
  const std::size_t host = random_.NextBelow(hosts_.size());
  EntryHost& entry = hosts_[host];
  if (ServiceFigures* figures = FiguresOf(request)) {
    if (request.returns > 0) {
      ++figures->returns;
      ++figures->returns_by_tenth[now_ / std::chrono::milliseconds(100)];
    } else {
      ++figures->arrived;
      ++figures->arrived_by_brand[scenario_.brands[request.brand].name];
    }
  }

  const decision::Admission admission = entry.scheduler->Submit(
      {.service = deployment_.services[service].config.service,
       .brand = BrandName(scenario_.brands[request.brand].name)},
      Now());
  if (const auto* dispatch = std::get_if<decision::Dispatch>(&admission)) {
    entry.requests.emplace(dispatch->attempt.ticket.id, std::move(request));
    Start(host, *dispatch);
  } else if (const auto* queued = std::get_if<decision::Queued>(&admission)) {
    entry.requests.emplace(queued->ticket.id, std::move(request));
  } else {
    RecordRefusal(request, std::get<decision::Refusal>(admission));
  }
  Advance(host);
}

void Simulator::Advance(std::size_t host) {
  EntryHost& entry = hosts_[host];
  for (int i = 0; i < kMaxAdvances; ++i) {
    const auto wake = entry.scheduler->NextWake();
    if (!wake)
      return;
    if (*wake > Now()) {
      const Duration at = *wake - kStart;
      if (entry.wake && *entry.wake <= at)
        return;
      entry.wake = at;
      Schedule(at, [this, host] {
        hosts_[host].wake.reset();
        Advance(host);
      });
      return;
    }
    for (const decision::Action& action : entry.scheduler->Advance(Now())) {
      if (const auto* dispatch = std::get_if<decision::Dispatch>(&action)) {
        Start(host, *dispatch);
        continue;
      }
      const auto& expiry = std::get<decision::Expiry>(action);
      RecordRefusal(entry.requests.at(expiry.ticket.id), expiry.refusal);
    }
  }
  throw std::logic_error(
      "NextWake() stays due after repeated calls of Advance()");
}

ServiceFigures* Simulator::FiguresOf(const Request& request) {
  if (request.arrived < scenario_.warm_up)
    return nullptr;
  return &figures_.services[request.service];
}

void Simulator::RecordAnswer(Request& request, bool is_error) {
  request.is_done = true;
  ServiceFigures* figures = FiguresOf(request);
  if (figures == nullptr)
    return;
  if (is_error) {
    ++figures->errors;
    return;
  }

  const Duration latency = now_ - request.arrived;
  ++figures->answered;
  figures->latencies.push_back(latency);
  if (latency > figures->deadline) {
    ++figures->late;
    return;
  }
  ++figures->in_time_by_brand[scenario_.brands[request.brand].name];
}

void Simulator::RecordRefusal(Request& request,
                              const decision::Refusal& refusal) {
  request.is_done = true;
  if (refusal.run_state == decision::RunState::kNotRun && request.runs > 0) {
    ++figures_.false_not_run;
  }
  ScheduleCallerReturn(request, refusal.retry_after);
  ServiceFigures* figures = FiguresOf(request);
  if (figures == nullptr)
    return;

  ++figures->refused[refusal.reason];
  if (refusal.run_state != decision::RunState::kNotRun)
    ++figures->unknown;
  if (request.returns > 0)
    ++figures->refused_again;
}

void Simulator::CountUnanswered() {
  for (const EntryHost& host : hosts_) {
    for (const auto& [id, request] : host.requests) {
      if (!request.is_done)
        ++figures_.unanswered;
    }
  }
  for (const auto& [name, target] : targets_) {
    figures_.peak_over_slots =
        std::max(figures_.peak_over_slots, target.PeakOverSlots());
  }
}

}  // namespace medlarcroft::scenarios
