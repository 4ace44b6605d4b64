#include <iostream>
#include <string_view>

#include "example_clock.h"
#include "examples.h"
#include "medlarcroft/capacity/share_allocator.h"

namespace {

using medlarcroft::HostName;
using medlarcroft::MonotonicTime;
using medlarcroft::capacity::OutgoingShareRequest;
using medlarcroft::capacity::ShareAllocator;

constexpr std::string_view kLimit = "target/swap-ledger-1";

/// @return how many units `allocator` can acquire now.
int TakeAll(ShareAllocator& allocator) {
  int taken = 0;
  while (allocator.TryAcquire(kLimit)) {
    ++taken;
  }
  return taken;
}

}  // namespace

bool ShowShares() {
  ExampleClock clock;
  ShareAllocator first({.host = HostName("first"), .incarnation = 1}, clock);
  ShareAllocator second({.host = HostName("second"), .incarnation = 1}, clock);

  // The target accepts three concurrent requests: two from the first process
  // and one from the second.
  first.SetOwn(kLimit, 2);
  second.SetOwn(kLimit, 1);
  first.SetOwnValidUntil(MonotonicTime::max());
  second.SetOwnValidUntil(MonotonicTime::max());

  // The second is busy and borrows one unit. In a real program the request and
  // the answer are sent over the network, and either may be lost.
  const OutgoingShareRequest outgoing =
      second.Borrow(kLimit, 1, HostName("first"));
  second.Apply(outgoing, first.Lend(outgoing.request));

  const int by_first = TakeAll(first);
  const int by_second = TakeAll(second);
  std::cout << "shares: the first may use " << by_first << ", the second "
            << by_second << ", together never more than 3\n";

  // The loan is not renewed, so the borrower must not start new requests on it.
  clock.Advance(std::chrono::seconds(10));
  const auto standing = second.State(kLimit);
  std::cout << "shares: after the lease the second may start "
            << standing.borrowed << " on loan\n";
  return by_first == 1 && by_second == 2 && standing.borrowed == 0;
}
