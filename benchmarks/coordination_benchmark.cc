#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/manual_clock.h"
#include "medlarcroft/capacity/share_allocator.h"
#include "medlarcroft/idempotency/key_authority.h"
#include "medlarcroft/idempotency/ledger.h"
#include "medlarcroft/membership/exchange.h"

namespace medlarcroft {
namespace {

/// Acquires and releases the share for one dispatch. Argument: limits.
void TakeAndReleaseShare(benchmark::State& state) {
  const fakes::ManualClock clock;
  capacity::ShareAllocator allocator({.host = HostName("h")}, clock);
  allocator.SetOwnValidUntil(MonotonicTime::max());
  std::vector<std::string> limits;
  for (int i = 0; i < state.range(0); ++i) {
    limits.push_back("target/swap-ledger-" + std::to_string(i) + "/slots");
    allocator.SetOwn(limits.back(), 3);
  }
  std::size_t next = 0;
  for (auto step : state) {
    const auto use = allocator.TryAcquire(limits[next]);
    allocator.Release(*use);
    next = (next + 1) % limits.size();
  }
}
BENCHMARK(TakeAndReleaseShare)->Arg(12)->Arg(260)->Arg(5000);

/// Processes one idempotency key: issue, parse, verify, begin and complete.
void KeyThroughTheLedger(benchmark::State& state) {
  fakes::ManualClock clock;
  idempotency::KeyAuthority authority(
      {.host = HostName("entry-host-12"), .incarnation = 1},
      {.issuing = "0123456789abcdef"}, clock);
  idempotency::Ledger ledger(
      {.host = HostName("entry-host-12"), .incarnation = 1}, clock);
  const auto answer = std::make_shared<idempotency::Answer>();
  for (auto step : state) {
    const auto text = FormatKey(authority.Issue(idempotency::Mode::kLocal));
    const auto key = ValueOf(idempotency::ParseKey(text));
    benchmark::DoNotOptimize(authority.FindRefusal(key));
    benchmark::DoNotOptimize(ledger.Begin(key, {}, 1000, 0));
    (void)ledger.Complete(key, answer);
    clock.Advance(std::chrono::seconds(1));
  }
}
BENCHMARK(KeyThroughTheLedger);

/// Creates and applies one message between peers. Argument: hosts in the
/// failure domain.
void ExchangeOfADomain(benchmark::State& state) {
  fakes::ManualClock clock;
  const membership::HostState self{.host = HostName("entry-host-0"),
                                   .failure_domain = FailureDomainName("d"),
                                   .number = {.incarnation = 1}};
  membership::MembershipTable table({}, self, clock);
  membership::MembershipTable other({}, self, clock);
  membership::TargetStatusTable signs({}, clock);
  membership::ExchangeSelector selector;
  for (int i = 1; i < state.range(0); ++i) {
    membership::HostState peer = self;
    peer.host = HostName("entry-host-" + std::to_string(i));
    (void)table.Receive(peer);
    (void)other.Receive(peer);
  }
  const std::size_t bytes = membership::PacingFor({}).message_bytes;
  for (auto step : state) {
    membership::ApplyExchange(selector.Select(table, signs, bytes), other,
                              signs);
  }
}
BENCHMARK(ExchangeOfADomain)->Arg(2)->Arg(11)->Arg(52);

}  // namespace
}  // namespace medlarcroft
