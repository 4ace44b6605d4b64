#include "medlarcroft/idempotency/ledger.h"

#include <gtest/gtest.h>

#include "fakes/manual_clock.h"
#include "medlarcroft/idempotency/key_authority.h"

namespace medlarcroft::idempotency {
namespace {

constexpr std::size_t kReserve = 1000;
Fingerprint Booking(const char* body) {
  return ComputeFingerprint({.brand = "b", .method = "POST", .body = body});
}

class LedgerTest : public ::testing::Test {
 protected:
  BeginResult Begin(const Key& key, WaiterId waiter = 0) {
    return ledger_.Begin(key, Booking("tee 7:10"), kReserve, waiter);
  }

  static Refused RefusedOf(const BeginResult& result) {
    const auto* refused = std::get_if<Refused>(&result);
    return refused == nullptr ? Refused{} : *refused;
  }

  fakes::ManualClock clock_;
  KeyAuthority authority_{{.host = HostName("h"), .incarnation = 5},
                          {.issuing = "0123456789abcdef"},
                          clock_};
  Ledger ledger_{{.host = HostName("h"),
                  .incarnation = 5,
                  .max_entries = 3,
                  .max_bytes = 2 * kReserve,
                  .max_waiters = 2},
                 clock_};
};

// A duplicate that arrives while the first attempt runs waits, and both get the
// same complete answer. At most two duplicates wait, and reporting the result
// returns them; later duplicates get the stored answer.
TEST_F(LedgerTest, DuplicatesWaitAndLaterOnesGetTheSameAnswer) {
  const Key key = authority_.Issue(Mode::kLocal);
  EXPECT_TRUE(std::holds_alternative<DispatchRequest>(Begin(key)));
  EXPECT_TRUE(std::holds_alternative<AwaitFirstAttempt>(Begin(key, 11)));
  EXPECT_TRUE(std::holds_alternative<AwaitFirstAttempt>(Begin(key, 12)));
  EXPECT_EQ(RefusedOf(Begin(key, 13)).reason, LedgerRefusal::kTooManyWaiters);
  ledger_.CancelWait(key, 11);

  const auto answer = std::make_shared<Answer>(Answer{.status = 201});
  EXPECT_EQ(ledger_.Complete(key, answer), std::vector<WaiterId>{12});
  const BeginResult replay = Begin(key);
  ASSERT_TRUE(std::holds_alternative<ReplayAnswer>(replay));
  EXPECT_EQ(*std::get<ReplayAnswer>(replay).answer, *answer);
  EXPECT_EQ(ledger_.Running(), 0U);
}

TEST_F(LedgerTest, DifferentRequestWithSameKeyIsRefused) {
  const Key key = authority_.Issue(Mode::kLocal);
  (void)Begin(key);
  const Refused refused =
      RefusedOf(ledger_.Begin(key, Booking("tee 7:20"), kReserve, 0));
  EXPECT_EQ(refused.reason, LedgerRefusal::kRequestDiffers);
  EXPECT_EQ(refused.outcome, Outcome::kUnknown);
}

TEST_F(LedgerTest, RequestWithUnknownOutcomeNeverRunsAgain) {
  const Key key = authority_.Issue(Mode::kLocal);
  (void)Begin(key);
  (void)ledger_.MarkUnknown(key);
  EXPECT_EQ(RefusedOf(Begin(key)).reason, LedgerRefusal::kFateUnknown);
  EXPECT_TRUE(ledger_.MarkNotRun(key).empty());
  EXPECT_EQ(ledger_.OutcomeIfRefused(key), Outcome::kUnknown);

  (void)ledger_.Complete(key, std::make_shared<Answer>());
  EXPECT_TRUE(std::holds_alternative<ReplayAnswer>(Begin(key)));
}

TEST_F(LedgerTest, RequestThatDidNotRunMayBeRetried) {
  const Key key = authority_.Issue(Mode::kLocal);
  (void)Begin(key);
  (void)Begin(key, 4);
  EXPECT_EQ(ledger_.MarkNotRun(key), std::vector<WaiterId>{4});
  EXPECT_EQ(ledger_.OutcomeIfRefused(key), Outcome::kNotRun);
  EXPECT_TRUE(std::holds_alternative<DispatchRequest>(Begin(key)));
}

// A full ledger answers "not run" before dispatching. Space for the answer is
// reserved first, because an answer that cannot be stored could not be
// replayed. The refusal proves "not run" for a local key, but not for a durable
// one.
TEST_F(LedgerTest, FullLedgerRefusesBeforeDispatch) {
  (void)Begin(authority_.Issue(Mode::kLocal));
  (void)Begin(authority_.Issue(Mode::kLocal));
  const Refused local = RefusedOf(Begin(authority_.Issue(Mode::kLocal)));
  EXPECT_EQ(local.reason, LedgerRefusal::kFull);
  EXPECT_EQ(local.outcome, Outcome::kNotRun);
  const Refused durable = RefusedOf(Begin(authority_.Issue(Mode::kDurable)));
  EXPECT_EQ(durable.outcome, Outcome::kUnknown);
  EXPECT_EQ(ledger_.Bytes(), 2 * kReserve);
}

TEST_F(LedgerTest, ForeignKeysAreNeverRun) {
  KeyAuthority before({.host = HostName("h"), .incarnation = 4},
                      {.issuing = "0123456789abcdef"}, clock_);
  KeyAuthority other({.host = HostName("g"), .incarnation = 5},
                     {.issuing = "0123456789abcdef"}, clock_);
  const Refused restarted = RefusedOf(Begin(before.Issue(Mode::kLocal)));
  EXPECT_EQ(restarted.reason, LedgerRefusal::kForeignIncarnation);
  EXPECT_EQ(restarted.outcome, Outcome::kUnknown);
  const Refused elsewhere = RefusedOf(Begin(other.Issue(Mode::kLocal)));
  EXPECT_EQ(elsewhere.reason, LedgerRefusal::kForeignHost);
  EXPECT_EQ(elsewhere.outcome, Outcome::kUnknown);
  EXPECT_TRUE(std::holds_alternative<DispatchRequest>(
      Begin(other.Issue(Mode::kDurable))));
}

TEST_F(LedgerTest, RequestThatOutlivesItsKeyIsSettledAndRemoved) {
  const Key key = authority_.Issue(Mode::kLocal);
  (void)Begin(key);
  clock_.Advance(std::chrono::minutes(11));
  EXPECT_TRUE(std::holds_alternative<AwaitFirstAttempt>(Begin(key, 9)));
  EXPECT_EQ(ledger_.Complete(key, std::make_shared<Answer>()),
            std::vector<WaiterId>{9});
  EXPECT_EQ(ledger_.Entries(), 0U);
  EXPECT_EQ(ledger_.Bytes(), 0U);
  EXPECT_EQ(RefusedOf(Begin(key)).reason, LedgerRefusal::kExpired);
}

}  // namespace
}  // namespace medlarcroft::idempotency
