#include "adapters/forward/reach_monitor.h"

#include <utility>

#include "adapters/event/tcp_stream.h"
#include "adapters/process/log.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

using request_path::ReachCandidate;
using request_path::TargetNumber;

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
// Several round trips to another region.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// What is between the two ends may accept a connection and reset it at once.
constexpr Duration kSettleTime = std::chrono::milliseconds(60);
constexpr Duration kStallTimeout = std::chrono::seconds(3);

}  // namespace

class ReachMonitor::Probe final : public StreamHandler {
 public:
  Probe(ReachMonitor& owner, TargetNumber target, const SocketAddress& address)
      : owner_(owner),
        target_(target),
        stream_(owner.loop_, address, kStallTimeout, *this) {
    StartTimer(kConnectTimeout, false);
  }
  ~Probe() override { owner_.loop_.Cancel(timer_); }
  Probe(const Probe&) = delete;
  Probe& operator=(const Probe&) = delete;

  void OnConnected() override {
    owner_.loop_.Cancel(timer_);
    StartTimer(kSettleTime, true);
  }
  void OnBytes(std::string_view /*bytes*/) override {}
  void OnEnd(StreamEnd /*end*/) override { owner_.OnProbed(target_, false); }

  /// @brief Takes in what has happened, which may end the probe.
  void CatchUp() { stream_.CatchUp(); }
  [[nodiscard]] bool IsWaiting() const { return timer_ != 0; }

 private:
  void StartTimer(Duration delay, bool is_reached) {
    timer_ = owner_.loop_.After(delay, [this, is_reached] {
      timer_ = 0;
      owner_.OnTimeOver(target_, is_reached);
    });
  }

  ReachMonitor& owner_;
  const TargetNumber target_;
  TimerId timer_ = 0;
  TcpStream stream_;
};

ReachMonitor::ReachMonitor(EventLoop& loop,
                           request_path::RequestPath& path,
                           FailureDomainName own_domain)
    : loop_(loop), path_(path), own_domain_(std::move(own_domain)) {
  loop_.Every(kTickPeriod, [this] { Tick(); });
}

ReachMonitor::~ReachMonitor() = default;

void ReachMonitor::Tick() {
  LogChange();
  for (const ReachCandidate& candidate :
       path_.StartReachProbes(own_domain_, loop_.Now())) {
    const auto address = ParseSocketAddress(candidate.address);
    if (!address || probes_.contains(candidate.target)) {
      path_.OnReachProbed(candidate.target, false, loop_.Now());
      continue;
    }
    probes_.emplace(candidate.target,
                    std::make_unique<Probe>(*this, candidate.target, *address));
  }
}

// Guards against a host that takes itself for cut off because it was held up:
// it comes to its timers before it comes to the connections.
void ReachMonitor::OnTimeOver(TargetNumber target, bool is_reached) {
  probes_.at(target)->CatchUp();
  const auto still = probes_.find(target);
  if (still != probes_.end() && !still->second->IsWaiting()) {
    OnProbed(target, is_reached);
  }
}

void ReachMonitor::OnProbed(TargetNumber target, bool is_reached) {
  const auto ended = probes_.extract(target);
  if (ended.empty()) {
    return;
  }
  path_.OnReachProbed(target, is_reached, loop_.Now());
  LogChange();
}

void ReachMonitor::LogChange() {
  const bool is_cut_off = path_.Reach().IsCutOff();
  if (is_cut_off != was_cut_off_) {
    was_cut_off_ = is_cut_off;
    Log(is_cut_off ? LogLevel::kWarning : LogLevel::kInfo,
        is_cut_off ? "targets-out-of-reach" : "targets-in-reach");
  }
}

}  // namespace medlarcroft::adapters
