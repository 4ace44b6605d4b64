#ifndef MEDLARCROFT_TESTS_UNIT_LOAD_GENERATOR_FAKE_DEPLOYMENT_H_
#define MEDLARCROFT_TESTS_UNIT_LOAD_GENERATOR_FAKE_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/manual_clock.h"
#include "medlarcroft/load_generator/body_hash.h"
#include "medlarcroft/load_generator/load_session.h"

namespace medlarcroft::load_generator {

/// @brief Fake deployment in virtual time: one look-up listener, two entry
/// hosts and one target that records its runs.
class FakeDeployment final : public LoadTransport {
 public:
  explicit FakeDeployment(fakes::ManualClock& clock) : clock_(clock) {}

  // Behaviour; set by tests.
  Duration latency = std::chrono::milliseconds(5);
  Duration lookup_ttl = std::chrono::seconds(5);
  std::function<bool(std::uint64_t attempt)> refuses;  ///< Responds "not run".
  bool runs_twice = false;
  bool swaps_responses = false;
  bool truncates_responses = false;
  bool runs_refused_requests = false;
  bool omits_outcome = false;
  std::string unreachable_address;
  int retry_after_s = 0;

  // Recorded requests and runs.
  std::vector<OutgoingRequest> lookups;
  std::vector<OutgoingRequest> attempts;
  std::vector<MonotonicTime> attempt_times;
  std::map<std::pair<std::string, std::string>, std::uint64_t> runs;

  void Send(OutgoingRequest request) override {
    const std::uint64_t id = request.id;
    ExchangeResult result = Respond(request);
    pending_results_.emplace(clock_.Now() + latency,
                             std::pair(id, std::move(result)));
  }

  /// @brief Runs the session to its end.
  void Drive(LoadSession& session) {
    while (!session.IsDone()) {
      const auto next = session.Step(clock_.Now());
      const MonotonicTime next_result = pending_results_.empty()
                                            ? MonotonicTime::max()
                                            : pending_results_.begin()->first;
      const MonotonicTime at =
          std::min(next.value_or(MonotonicTime::max()), next_result);
      clock_.Advance(at - clock_.Now());
      while (!pending_results_.empty() &&
             pending_results_.begin()->first <= clock_.Now()) {
        const auto received = pending_results_.begin()->second;
        pending_results_.erase(pending_results_.begin());
        session.OnResult(received.first, received.second, clock_.Now());
      }
    }
  }

  [[nodiscard]] RunAudit Audit() const {
    RunAudit audit{.is_complete = true};
    for (const auto& [name, count] : runs) {
      audit.runs.push_back({.target = "t",
                            .idempotency_key = name.first,
                            .path = name.second,
                            .count = count});
    }
    return audit;
  }

 private:
  ExchangeResult Respond(const OutgoingRequest& request) {
    if (request.url.find("/v1/lookup") != std::string::npos) {
      lookups.push_back(request);
      return {.status = 200, .body = LookupBody()};
    }
    if (request.url.find("/v1/keys") != std::string::npos) {
      return {.status = 201, .body = KeysBody()};
    }
    attempts.push_back(request);
    attempt_times.push_back(clock_.Now());
    return RespondToAttempt(request);
  }

  ExchangeResult RespondToAttempt(const OutgoingRequest& request) {
    if (!unreachable_address.empty() &&
        request.url.find(unreachable_address) != std::string::npos) {
      return {.failure = ExchangeFailure::kNeverSent};
    }
    const std::string path = request.url.substr(request.url.rfind('/'));
    if (refuses && refuses(attempts.size())) {
      if (runs_refused_requests) {
        runs[{IdempotencyKeyOf(request), path}]++;
      }
      ExchangeResult result{.status = 503, .body = R"({"code":"no-share"})"};
      result.headers = {{"medlar-outcome", "not-run"}};
      if (retry_after_s > 0) {
        result.headers.push_back(
            {"retry-after", std::to_string(retry_after_s)});
      }
      return result;
    }
    runs[{IdempotencyKeyOf(request), path}] += runs_twice ? 2 : 1;
    if (truncates_responses) {
      return {.failure = ExchangeFailure::kTruncated};
    }
    const nlohmann::json body = {
        {"path", swaps_responses ? previous_path_ : path},
        {"body_hash", HashBody(request.body)}};
    previous_path_ = path;
    ExchangeResult result{.status = 200, .body = body.dump()};
    if (!omits_outcome) {
      result.headers = {{"medlar-outcome", "ran"}};
    }
    return result;
  }

  static std::string IdempotencyKeyOf(const OutgoingRequest& request) {
    for (const HeaderField& field : request.headers) {
      if (field.name == "Idempotency-Key") {
        return field.value;
      }
    }
    return "";
  }

  [[nodiscard]] std::string LookupBody() const {
    return nlohmann::json{
        {"revision", 3},
        {"ttl_ms", ToMilliseconds(lookup_ttl)},
        {"entry_hosts",
         {{{"host", "a"}, {"address", "10.0.0.1:80"}, {"weight", 3.0}},
          {{"host", "b"}, {"address", "10.0.0.2:80"}, {"weight", 1.0}}}}}
        .dump();
  }

  std::string KeysBody() {
    nlohmann::json keys = nlohmann::json::array();
    for (int i = 0; i < 4; ++i) {
      keys.push_back("key-" + std::to_string(++last_key_));
    }
    return nlohmann::json{{"idempotency_keys", keys}}.dump();
  }

  fakes::ManualClock& clock_;
  std::multimap<MonotonicTime, std::pair<std::uint64_t, ExchangeResult>>
      pending_results_;
  std::string previous_path_;
  int last_key_ = 0;
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_TESTS_UNIT_LOAD_GENERATOR_FAKE_DEPLOYMENT_H_
