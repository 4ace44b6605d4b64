#include "adapters/entry/idempotency_guard.h"

#include <gtest/gtest.h>

#include "fakes/manual_clock.h"

namespace medlarcroft::adapters {
namespace {

using decision::RunState;

IdempotencyGuard::Options OptionsOf(std::uint64_t incarnation,
                                    std::string secret) {
  return {.host = HostName("host-1"),
          .incarnation = incarnation,
          .secrets = {.issuing = std::move(secret)}};
}

constexpr const char* kSecret = "0123456789abcdef";

class IdempotencyGuardTest : public testing::Test {
 protected:
  ServiceRequest Order(std::string key) {
    ServiceRequest request;
    request.service = ServiceName("ledger");
    request.brand = BrandName("brand");
    request.method = "POST";
    request.target_path = "/order";
    request.key_text = std::move(key);
    return request;
  }

  /// Begins the order, expects that it may run, and records its result.
  void Run(const std::string& key, RunState run_state) {
    const GuardDecision guard_decision =
        guard_.Begin(Order(key), 1000, [](const RequestResult&) {});
    const auto* run = std::get_if<ProceedDecision>(&guard_decision);
    ASSERT_NE(run, nullptr);
    guard_.RecordResult(run->key, {.run_state = run_state});
  }

  fakes::ManualClock clock_;
  IdempotencyGuard guard_{OptionsOf(1, kSecret), clock_};
};

// An order ran and its answer was lost. The caller retries with the same key
// while the host is stopping, or has just started and has no routes. If the
// response were "not run", the caller would use a new key and the order would
// run twice.
TEST_F(IdempotencyGuardTest, RefusalBeforeLedgerLookupDoesNotReportNotRun) {
  const std::string ran = guard_.Issue(idempotency::Mode::kLocal);
  const std::string lost = guard_.Issue(idempotency::Mode::kLocal);
  const std::string fresh = guard_.Issue(idempotency::Mode::kLocal);
  const std::string durable = guard_.Issue(idempotency::Mode::kDurable);
  Run(ran, RunState::kRan);
  Run(lost, RunState::kUnknown);

  EXPECT_NE(guard_.RunStateIfRefused(ran), RunState::kNotRun);
  EXPECT_NE(guard_.RunStateIfRefused(lost), RunState::kNotRun);
  EXPECT_NE(guard_.RunStateIfRefused(durable), RunState::kNotRun);
  EXPECT_EQ(guard_.RunStateIfRefused(fresh), RunState::kNotRun);

  const IdempotencyGuard restarted(OptionsOf(2, kSecret), clock_);
  EXPECT_EQ(restarted.RunStateIfRefused(ran), RunState::kUnknown);
  EXPECT_EQ(restarted.RunStateIfRefused(fresh), RunState::kUnknown);
}

// The secret was replaced on all hosts at once after a leak. A key signed with
// the old secret looks forged, but its order may have run.
TEST_F(IdempotencyGuardTest, KeySignedWithReplacedSecretIsReportedUnknown) {
  const std::string key = guard_.Issue(idempotency::Mode::kLocal);
  IdempotencyGuard other(OptionsOf(1, "fedcba9876543210"), clock_);

  const GuardDecision guard_decision =
      other.Begin(Order(key), 1000, [](const RequestResult&) {});
  const auto* answer = std::get_if<AnswerDecision>(&guard_decision);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->result.run_state, RunState::kUnknown);
}

TEST_F(IdempotencyGuardTest, MissingAndMalformedKeysAreReportedNotRun) {
  EXPECT_EQ(guard_.RunStateIfRefused(std::nullopt), RunState::kNotRun);
  EXPECT_EQ(guard_.RunStateIfRefused("any text"), RunState::kNotRun);
}

// A claim could not be resolved, so nothing was dispatched on this host. A
// later attempt with the same key must be allowed to run.
TEST_F(IdempotencyGuardTest, ReleasedKeyMayRunLater) {
  const std::string key = guard_.Issue(idempotency::Mode::kDurable);
  const GuardDecision guard_decision =
      guard_.Begin(Order(key), 1000, [](const RequestResult&) {});
  guard_.Release(std::get<ProceedDecision>(guard_decision).key,
                 {.run_state = RunState::kUnknown});
  Run(key, RunState::kRan);
}

}  // namespace
}  // namespace medlarcroft::adapters
