#include "medlarcroft/membership/sharing_hosts.h"

#include <gtest/gtest.h>

namespace medlarcroft::membership {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr MonotonicTime kStart{hours(1)};
constexpr Duration kInTouchAfter = seconds(4);
constexpr Duration kWindow = seconds(10);

// Hosts that were removed from the list may still send, and a host without a
// current list does not know those that joined.
TEST(ShareCountTest, CountsHostsThatMaySend) {
  ShareCount count;
  EXPECT_EQ(count.Update(8, true, kStart), 8U);
  EXPECT_EQ(count.Update(5, true, kStart + std::chrono::minutes(20)), 8U);
  EXPECT_EQ(count.Update(5, true, kStart + hours(2)), 8U);
  EXPECT_EQ(count.Update(5, true, kStart + hours(3)), 5U);
  EXPECT_EQ(count.Update(8, false, kStart + hours(3)), 10U);
}

SharingHosts MakeStarted() {
  return SharingHosts({.in_touch_after = kInTouchAfter, .started_at = kStart});
}

// Guards against a host that uses all limits alone until it has read the list.
TEST(SharingHostsTest, WithoutAListThereIsNoShare) {
  SharingHosts sharing = MakeStarted();
  sharing.Update({.listed = 1}, kStart + hours(1));
  EXPECT_EQ(sharing.Share().Of(kWindow, kStart + hours(1)), 0);
}

// Guards against using a share twice: a process does not know what its
// predecessor used within the window of a limit.
TEST(SharingHostsTest, ARestartedHostHasItsShareAfterOneWindow) {
  SharingHosts sharing = MakeStarted();
  sharing.Update({.listed = 10, .is_known = true, .is_current = true}, kStart);
  EXPECT_EQ(sharing.Share().Of(kWindow, kStart + seconds(9)), 0);
  EXPECT_EQ(sharing.Share().Of(kWindow, kStart + seconds(10)), 0.1);
  EXPECT_EQ(sharing.Share().Of(seconds(1), kStart + seconds(1)), 0.1);
}

// Guards against a share that the others still use: they do not count a host
// yet whose row was missing.
TEST(SharingHostsTest, AHostThatJoinsHasItsShareOnceTheOthersMadeRoom) {
  SharingHosts sharing = MakeStarted();
  const MonotonicTime written_at = kStart + seconds(2);
  sharing.Update({.listed = 10,
                  .is_known = true,
                  .is_current = true,
                  .row_written_at = written_at},
                 written_at);
  const MonotonicTime counted_at = written_at + kInTouchAfter;
  EXPECT_EQ(sharing.Share().Of(kWindow, counted_at + seconds(9)), 0);
  EXPECT_EQ(sharing.Share().Of(kWindow, counted_at + seconds(10)), 0.1);
}

// Guards against dividing among fewer hosts than there are, while rows are
// missing for a moment.
TEST(SharingHostsTest, ALapsedListChangesNoShare) {
  SharingHosts sharing = MakeStarted();
  sharing.Update({.listed = 10, .is_known = true, .is_current = true}, kStart);
  const MonotonicTime later = kStart + seconds(60);
  sharing.Update({.listed = 1, .is_known = true, .is_current = true}, later);
  EXPECT_EQ(sharing.Share().Of(kWindow, later), 0.1);
}

}  // namespace
}  // namespace medlarcroft::membership
