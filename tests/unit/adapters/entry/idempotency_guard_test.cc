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

  /// Begins the order, which must be let run, and ends it.
  void Run(const std::string& key, RunState run_state) {
    const GuardDecision verdict =
        guard_.Begin(Order(key), 1000, [](const RequestResult&) {});
    const auto* run = std::get_if<ProceedDecision>(&verdict);
    ASSERT_NE(run, nullptr);
    guard_.Settle(run->key, {.run_state = run_state});
  }

  fakes::ManualClock clock_;
  IdempotencyGuard guard_{OptionsOf(1, kSecret), clock_};
};

// An order ran and its answer was lost. The caller asks again with its key
// while the host is stopping, or has just started and has no routes. It must
// not hear "not run", or it takes a new key and the order runs a second time.
TEST_F(IdempotencyGuardTest, RefusalBeforeTheLedgerNeverDeniesARun) {
  const std::string ran = guard_.Issue(idempotency::Mode::kLocal);
  const std::string lost = guard_.Issue(idempotency::Mode::kLocal);
  const std::string fresh = guard_.Issue(idempotency::Mode::kLocal);
  const std::string durable = guard_.Issue(idempotency::Mode::kDurable);
  Run(ran, RunState::kRan);
  Run(lost, RunState::kUnknown);

  EXPECT_NE(guard_.OutcomeIfRefused(ran), RunState::kNotRun);
  EXPECT_NE(guard_.OutcomeIfRefused(lost), RunState::kNotRun);
  EXPECT_NE(guard_.OutcomeIfRefused(durable), RunState::kNotRun);
  EXPECT_EQ(guard_.OutcomeIfRefused(fresh), RunState::kNotRun);

  const IdempotencyGuard restarted(OptionsOf(2, kSecret), clock_);
  EXPECT_EQ(restarted.OutcomeIfRefused(ran), RunState::kUnknown);
  EXPECT_EQ(restarted.OutcomeIfRefused(fresh), RunState::kUnknown);
}

// The secret was replaced everywhere at once after a leak. A key of the old one
// looks forged, but its order may have run before.
TEST_F(IdempotencyGuardTest, KeyOfAnOldSecretIsNotDenied) {
  const std::string key = guard_.Issue(idempotency::Mode::kLocal);
  IdempotencyGuard other(OptionsOf(1, "fedcba9876543210"), clock_);

  const GuardDecision verdict =
      other.Begin(Order(key), 1000, [](const RequestResult&) {});
  const auto* answer = std::get_if<AnswerDecision>(&verdict);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->result.run_state, RunState::kUnknown);
}

TEST_F(IdempotencyGuardTest, NoKeyAndNoKeyOfOursAreProvedNotRun) {
  EXPECT_EQ(guard_.OutcomeIfRefused(std::nullopt), RunState::kNotRun);
  EXPECT_EQ(guard_.OutcomeIfRefused("any text"), RunState::kNotRun);
}

// A claim could not be settled, so nothing was dispatched here. A later attempt
// with the same key must be let try again.
TEST_F(IdempotencyGuardTest, ReleasedKeyMayRunLater) {
  const std::string key = guard_.Issue(idempotency::Mode::kDurable);
  const GuardDecision verdict =
      guard_.Begin(Order(key), 1000, [](const RequestResult&) {});
  guard_.Release(std::get<ProceedDecision>(verdict).key,
                 {.run_state = RunState::kUnknown});
  Run(key, RunState::kRan);
}

}  // namespace
}  // namespace medlarcroft::adapters
