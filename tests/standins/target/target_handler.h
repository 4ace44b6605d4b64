#ifndef MEDLARCROFT_TESTS_STANDINS_TARGET_TARGET_HANDLER_H_
#define MEDLARCROFT_TESTS_STANDINS_TARGET_TARGET_HANDLER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "adapters/http/http_server.h"
#include "standins/target/fault_plan.h"
#include "standins/target/run_ledger.h"
#include "standins/target/work_queue.h"

namespace medlarcroft::standins {

/// @brief Configuration of a target.
struct TargetOptions {
  std::string listen = "127.0.0.1:0";
  std::string name = "target";
  std::string service = "service";
  std::string failure_domain = "domain";
  std::uint32_t slots = 4;
  Duration mean_service_time = std::chrono::milliseconds(20);
  std::uint64_t seed = 1;
};

/// @brief A target with a bounded number of slots. It sheds excess requests
/// with a header stating that they did not run, and injects faults on request.
class TargetHandler final : public adapters::HttpHandler {
 public:
  explicit TargetHandler(const TargetOptions& options);

  std::optional<adapters::HttpResponse> Handle(
      adapters::HttpRequest request,
      const std::shared_ptr<adapters::Responder>& responder) override;

  [[nodiscard]] std::size_t MaxBodyBytes(
      const adapters::HttpRequest& request) const override;

  /// @brief Sets the counter of connections accepted so far.
  void SetConnectionCounter(const std::atomic<std::uint64_t>& connections) {
    connections_ = &connections;
  }

  void StartDraining();
  [[nodiscard]] std::size_t Outstanding() const { return work_.Outstanding(); }

 private:
  using Route =
      adapters::HttpResponse (TargetHandler::*)(const adapters::HttpRequest&);
  struct ControlRoute;
  static const ControlRoute kControlRoutes[];

  /// Properties of a request that its response repeats.
  struct RequestIdentity {
    std::string request_id;
    std::string path;
    std::string body_hash;
  };

  struct Counters {
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadlines_passed = 0;
  };

  adapters::HttpResponse Health(const adapters::HttpRequest& request);
  adapters::HttpResponse Load(const adapters::HttpRequest& request);
  adapters::HttpResponse ListRuns(const adapters::HttpRequest& request);
  adapters::HttpResponse SetFaults(const adapters::HttpRequest& request);

  std::optional<adapters::HttpResponse> Serve(
      const adapters::HttpRequest& request,
      const std::shared_ptr<adapters::Responder>& responder);
  std::optional<adapters::HttpResponse> Start(
      const adapters::HttpRequest& request,
      Duration remaining,
      const std::shared_ptr<adapters::Responder>& responder);
  adapters::HttpResponse Shed(std::string_view code);
  void Finish(const RequestIdentity& identity,
              const RunKey& run,
              std::uint64_t connection_id,
              const std::shared_ptr<adapters::Responder>& responder,
              WorkOutcome outcome);
  adapters::HttpResponse MakeResponse(const RequestIdentity& identity);
  void AddDrainingHeader(adapters::HttpResponse& response) const;
  Duration DrawServiceTime();
  [[nodiscard]] bool IsSilentConnection(std::uint64_t connection_id) const;

  const TargetOptions options_;
  const std::atomic<std::uint64_t>* connections_ = nullptr;

  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  FaultPlan faults_;
  SteadyTime faults_set_at_;
  std::uint64_t last_silent_connection_ = 0;
  std::uint64_t exempt_connection_ = 0;
  RunLedger runs_;
  Counters counters_;
  /// Identity of the request answered last; initially a placeholder.
  RequestIdentity previous_{.request_id = "nobody", .path = "/nobody"};

  // Must be the last member: its thread uses the members above until joined.
  WorkQueue work_;
};

}  // namespace medlarcroft::standins

#endif  // MEDLARCROFT_TESTS_STANDINS_TARGET_TARGET_HANDLER_H_
