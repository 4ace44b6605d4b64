#include "adapters/forward/crash_probe.h"

#include <utility>

#include "adapters/event/tcp_stream.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

// A refusal takes one round trip. Without a response within this time the
// target counts as not crashed.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr Duration kStallTimeout = std::chrono::seconds(3);

}  // namespace

class CrashProbe::Probe final : public StreamHandler {
 public:
  Probe(CrashProbe& owner, std::string address, const SocketAddress& parsed)
      : owner_(owner),
        address_(std::move(address)),
        timer_(owner.loop_.After(kProbeTimeout,
                                 [this] {
                                   timer_ = 0;
                                   OnTimeOver();
                                 })),
        stream_(owner.loop_, parsed, kStallTimeout, *this) {}
  ~Probe() override {
    if (timer_ != 0) {
      owner_.loop_.Cancel(timer_);
    }
  }
  Probe(const Probe&) = delete;
  Probe& operator=(const Probe&) = delete;

  void OnConnected() override { owner_.Finish(address_, false); }
  void OnBytes(std::string_view /*bytes*/) override {}
  void OnEnd(StreamEnd end) override {
    owner_.Finish(address_, end == StreamEnd::kCannotConnect);
  }

  std::vector<InterruptedSend> interrupted;

 private:
  // Guards against crashes that stay unknown because this host was held up: it
  // comes to the timer before it comes to the refusal.
  void OnTimeOver() {
    CrashProbe& owner = owner_;
    const std::string address = address_;
    stream_.CatchUp();
    owner.Finish(address, false);
  }

  CrashProbe& owner_;
  const std::string address_;
  TimerId timer_;
  TcpStream stream_;
};

CrashProbe::CrashProbe(EventLoop& loop, OnCrash on_crash)
    : loop_(loop), on_crash_(std::move(on_crash)) {}

CrashProbe::~CrashProbe() = default;

void CrashProbe::Check(const std::string& address,
                       InterruptedSend interrupted) {
  const auto known = probes_.find(address);
  if (known != probes_.end()) {
    known->second->interrupted.push_back(std::move(interrupted));
    return;
  }
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return;
  }
  auto probe = std::make_unique<Probe>(*this, address, *parsed);
  probe->interrupted.push_back(std::move(interrupted));
  probes_.emplace(address, std::move(probe));
}

void CrashProbe::Finish(const std::string& address, bool is_refused) {
  const auto found = probes_.find(address);
  if (found == probes_.end()) {
    return;
  }
  const std::unique_ptr<Probe> probe = std::move(found->second);
  probes_.erase(found);
  if (!is_refused) {
    return;
  }
  for (const InterruptedSend& interrupted : probe->interrupted) {
    on_crash_(interrupted);
  }
}

}  // namespace medlarcroft::adapters
