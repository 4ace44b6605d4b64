#include "medlarcroft/admission/returning_callers.h"

#include <gtest/gtest.h>

namespace medlarcroft::admission {
namespace {

using std::chrono::milliseconds;

TEST(ReturningCallersTest, CallerWithLessTimeThanUsualHasWaited) {
  ReturningCallers callers;
  EXPECT_FALSE(callers.OnRequest("menus", milliseconds(5000)));
  EXPECT_FALSE(callers.OnRequest("menus", milliseconds(4900)));
  EXPECT_TRUE(callers.OnRequest("menus", milliseconds(4300)));
  EXPECT_FALSE(callers.OnRequest("orders", milliseconds(2000)));
}

// Guards against callers that all count as returning once they state shorter
// times than before.
TEST(ReturningCallersTest, LearnsThatCallersWaitLessThanBefore) {
  ReturningCallers callers;
  EXPECT_FALSE(callers.OnRequest("menus", milliseconds(5000)));
  bool is_returning = true;
  for (int request = 0; request < 2000; ++request) {
    is_returning = callers.OnRequest("menus", milliseconds(3000));
  }
  EXPECT_FALSE(is_returning);
}

// Guards against one caller with an extreme time that makes all others count as
// returning.
TEST(ReturningCallersTest, OneExtremeTimeIsForgottenSoon) {
  ReturningCallers callers;
  EXPECT_FALSE(callers.OnRequest("menus", milliseconds(5000)));
  EXPECT_FALSE(callers.OnRequest("menus", std::chrono::hours(1)));
  bool is_returning = true;
  for (int request = 0; request < 400; ++request) {
    is_returning = callers.OnRequest("menus", milliseconds(5000));
  }
  EXPECT_FALSE(is_returning);
}

}  // namespace
}  // namespace medlarcroft::admission
