// A host that was held up: what its probes brought waits to be read when their
// time is over.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "adapters/forward/crash_probe.h"
#include "adapters/forward/reach_monitor.h"
#include "fakes/manual_clock.h"
#include "fakes/polled_server.h"
#include "single_loop_deployment.h"

namespace medlarcroft::adapters {
namespace {

using std::chrono::milliseconds;

constexpr int kProbes = 5;

/// @brief Always readable, so that the loop comes to it before the probes.
class OtherEvent final : public DescriptorHandler {
 public:
  explicit OtherEvent(EventLoop& loop) : loop_(loop) {
    (void)::socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data());
    (void)::write(ends_[1], "x", 1);
    loop_.Watch(ends_[0], *this);
  }
  ~OtherEvent() override {
    loop_.Unwatch(ends_[0]);
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  OtherEvent(const OtherEvent&) = delete;
  OtherEvent& operator=(const OtherEvent&) = delete;

  void OnReadable() override {}
  void OnWritable() override {}

 private:
  EventLoop& loop_;
  std::array<int, 2> ends_{};
};

// Guards against crashes that stay unknown because nobody read the refusals.
TEST(HeldUpProbesTest, RefusalsThatArrivedMeanwhileAreCrashes) {
  fakes::ManualClock clock;
  EventLoop loop(clock);
  const OtherEvent other(loop);
  int crashes = 0;
  CrashProbe probe(loop, [&](const InterruptedSend&) { ++crashes; });
  std::vector<std::string> addresses;
  {
    const std::array<fakes::PolledServer, kProbes> ended;
    for (const auto& server : ended) {
      addresses.push_back(server.Address());
    }
  }
  loop.After(Duration(0), [&] {
    for (const std::string& address : addresses) {
      probe.Check(address, {});
    }
    clock.Advance(milliseconds(500));
    loop.After(milliseconds(1), [&] { loop.Finish(0); });
    clock.Advance(milliseconds(1));
  });
  loop.Run();
  EXPECT_EQ(crashes, kProbes);
}

struct ReachCase {
  std::string name;
  /// Between the start of the probes and the hold.
  Duration ran_for;
  Duration held_for;
  bool closes_meanwhile;
  bool is_cut_off;
};

class HeldUpReachTest : public testing::TestWithParam<ReachCase> {
 protected:
  HeldUpReachTest() {
    std::vector<request_path::TargetRecord> records;
    records.reserve(kProbes);
    for (int i = 0; i < kProbes; ++i) {
      records.push_back({.id = TargetName("t" + std::to_string(i)),
                         .service = kService,
                         .address = server_.Address(),
                         .domain = kDomain,
                         .slots = 1});
    }
    directory_.ReplaceAll(records, {}, std::nullopt, loop_.Now());
    for (const auto& record : records) {
      path_.OnConnectFailed({record.id}, loop_.Now());
    }
  }

  void Turn() {
    clock_.Advance(kTurn);
    (void)server_.Waiting();
    const bool has_begun = server_.Connections() > 0;
    ran_for_ += has_begun ? kTurn : Duration(0);
    if (has_begun && !was_held_ && ran_for_ > GetParam().ran_for) {
      was_held_ = true;
      if (GetParam().closes_meanwhile) {
        server_.Interrupt("", true);
      }
      clock_.Advance(GetParam().held_for);
    }
    if (ran_for_ < kEnd) {
      loop_.After(Duration(0), [this] { Turn(); });
    } else {
      loop_.Finish(0);
    }
  }

  static constexpr Duration kTurn = milliseconds(1);
  static constexpr Duration kEnd = milliseconds(100);

  fakes::ManualClock clock_;
  EventLoop loop_{clock_};
  OtherEvent other_{loop_};
  fakes::PolledServer server_;
  fakes::SeededRandom random_{1};
  IgnoringObserver observer_;
  routing::RouteTable routes_;
  request_path::TargetDirectory directory_{{{kDomain, kRegion}}, observer_};
  request_path::RequestPath path_{{.own_region = kRegion},
                                  routes_,
                                  directory_,
                                  random_};
  ReachMonitor monitor_{loop_, path_, kDomain};

 private:
  Duration ran_for_{};
  bool was_held_ = false;
};

// Guards against a host that takes itself for cut off, or in reach, by probes
// whose outcome it has not read.
TEST_P(HeldUpReachTest, CountsWhatHappenedMeanwhile) {
  loop_.After(Duration(0), [this] { Turn(); });
  loop_.Run();
  EXPECT_EQ(path_.Reach().IsCutOff(), GetParam().is_cut_off);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    HeldUpReachTest,
    testing::Values(ReachCase{"Connected", milliseconds(0), milliseconds(400),
                              false, false},
                    ReachCase{"Closed", milliseconds(20), milliseconds(60),
                              true, true}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace medlarcroft::adapters
