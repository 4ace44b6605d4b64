#include "standins/target/target_handler.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarcroft/load_generator/body_hash.h"

namespace medlarcroft::standins {

using adapters::HttpRequest;
using adapters::HttpResponse;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
/// Longest random service time, as a multiple of the mean: bounds the tail of
/// the exponential distribution.
constexpr double kMaxServiceTimeInMeans = 10.0;
/// Factor by which the first response after a cold start is slower.
constexpr double kColdStartSlowdown = 5.0;
constexpr std::string_view kRequestIdHeader = "Medlar-Request-Id";

HttpResponse MakeJson(int status, const json& body) {
  HttpResponse response{.status = status, .body = body.dump()};
  response.headers.Add("Content-Type", "application/json");
  return response;
}

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  return std::string(request.headers.Find(name).value_or(""));
}

/// @return the time until the request's deadline, at most one hour, which is
/// also the value for a missing or malformed header.
Duration RemainingTimeOf(const HttpRequest& request) {
  const std::string text = HeaderOf(request, "Medlar-Deadline-Ms");
  std::int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, milliseconds);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::chrono::hours(1);
  }
  return std::chrono::milliseconds(
      std::min<std::int64_t>(milliseconds, 3'600'000));
}

}  // namespace

struct TargetHandler::ControlRoute {
  std::string_view method;
  std::string_view path;
  Route handle;
};

const TargetHandler::ControlRoute TargetHandler::kControlRoutes[] = {
    {"GET", "/health", &TargetHandler::Health},
    {"GET", "/load", &TargetHandler::Load},
    {"GET", "/control/runs", &TargetHandler::ListRuns},
    {"PUT", "/control/faults", &TargetHandler::SetFaults},
};

TargetHandler::TargetHandler(const TargetOptions& options)
    : options_(options), random_(options.seed), work_(options.slots) {}

std::size_t TargetHandler::MaxBodyBytes(const HttpRequest& /*request*/) const {
  return kMaxBodyBytes;
}

std::optional<HttpResponse> TargetHandler::Handle(
    HttpRequest request,
    const std::shared_ptr<adapters::Responder>& responder) {
  {
    const std::lock_guard lock(mutex_);
    if (IsSilentConnection(request.connection_id)) {
      work_.HoldUnanswered(responder);
      return std::nullopt;
    }
  }
  for (const ControlRoute& route : kControlRoutes) {
    if (route.method == request.method && route.path == request.path) {
      return (this->*route.handle)(request);
    }
  }
  return Serve(request, responder);
}

void TargetHandler::StartDraining() {
  const std::lock_guard lock(mutex_);
  faults_.draining = true;
}

HttpResponse TargetHandler::Health(const HttpRequest& /*request*/) {
  const std::lock_guard lock(mutex_);
  const char* state = faults_.draining ? "draining" : "serving";
  return MakeJson(faults_.draining ? 503 : 200,
                  {{"state", state}, {"target", options_.name}});
}

HttpResponse TargetHandler::Load(const HttpRequest& /*request*/) {
  const std::size_t outstanding = work_.Outstanding();
  const std::lock_guard lock(mutex_);
  return MakeJson(
      200, {{"outstanding", faults_.false_load.value_or(
                                static_cast<std::uint32_t>(outstanding))},
            {"slots", options_.slots},
            {"draining", faults_.draining}});
}

HttpResponse TargetHandler::ListRuns(const HttpRequest& /*request*/) {
  const std::lock_guard lock(mutex_);
  json runs = json::array();
  for (const auto& [key, count] : runs_.Runs()) {
    runs.push_back({{"idempotency_key", key.idempotency_key},
                    {"path", key.path},
                    {"count", count.started},
                    {"completed", count.completed},
                    {"cancelled", count.cancelled}});
  }
  return MakeJson(200, {{"target", options_.name},
                        {"service", options_.service},
                        {"failure_domain", options_.failure_domain},
                        {"requests", counters_.requests},
                        {"completed", counters_.completed},
                        {"shed", counters_.shed},
                        {"cancelled", counters_.cancelled},
                        {"deadlines_passed", counters_.deadlines_passed},
                        {"dropped", runs_.Dropped()},
                        {"runs", std::move(runs)}});
}

HttpResponse TargetHandler::SetFaults(const HttpRequest& request) {
  const auto parsed = ParseFaultPlan(request.body);
  if (!IsOk(parsed)) {
    return MakeJson(400,
                    {{"fault_plan_error", static_cast<int>(ErrorOf(parsed))}});
  }

  const std::lock_guard lock(mutex_);
  faults_ = ValueOf(parsed);
  faults_set_at_ = std::chrono::steady_clock::now();
  // A silent connection stays silent after the fault is cleared.
  if (faults_.silent_connections && connections_ != nullptr) {
    last_silent_connection_ = *connections_;
    exempt_connection_ = request.connection_id;
  }
  return MakeJson(200, {{"target", options_.name}});
}

bool TargetHandler::IsSilentConnection(std::uint64_t connection_id) const {
  return connection_id <= last_silent_connection_ &&
         connection_id != exempt_connection_;
}

std::optional<HttpResponse> TargetHandler::Serve(
    const HttpRequest& request,
    const std::shared_ptr<adapters::Responder>& responder) {
  const Duration remaining = RemainingTimeOf(request);
  const std::lock_guard lock(mutex_);
  counters_.requests++;
  if (faults_.draining) {
    return Shed("draining");
  }
  if (faults_.shed) {
    return Shed("shed");
  }
  if (remaining <= Duration::zero()) {
    return Shed("deadline-passed");
  }
  return Start(request, remaining, responder);
}

std::optional<HttpResponse> TargetHandler::Start(
    const HttpRequest& request,
    Duration remaining,
    const std::shared_ptr<adapters::Responder>& responder) {
  const SteadyTime now = std::chrono::steady_clock::now();
  const RequestIdentity identity{
      .request_id = HeaderOf(request, kRequestIdHeader),
      .path = request.raw_target,
      .body_hash = load_generator::HashBody(request.body)};
  const RunKey run{.idempotency_key = HeaderOf(request, "Idempotency-Key"),
                   .path = request.path};
  const bool is_started = work_.TryStart(
      {.ends_at = now + DrawServiceTime(),
       .deadline_at = now + remaining,
       .responder = responder,
       .finish = [this, identity, run, responder,
                  connection_id = request.connection_id](WorkOutcome outcome) {
         Finish(identity, run, connection_id, responder, outcome);
       }});
  if (!is_started) {
    return Shed("no-slot");
  }
  runs_.RecordStart(run, faults_.run_twice ? 2 : 1);
  return std::nullopt;
}

HttpResponse TargetHandler::Shed(std::string_view code) {
  counters_.shed++;
  HttpResponse response =
      MakeJson(503, {{"code", code}, {"target", options_.name}});
  response.headers.Add("Medlar-Target-Not-Run", "1");
  if (faults_.rest > Duration(0)) {
    response.headers.Add("Retry-After",
                         std::to_string(ToSeconds(faults_.rest)));
  }
  AddDrainingHeader(response);
  return response;
}

void TargetHandler::Finish(
    const RequestIdentity& identity,
    const RunKey& run,
    std::uint64_t connection_id,
    const std::shared_ptr<adapters::Responder>& responder,
    WorkOutcome outcome) {
  const std::lock_guard lock(mutex_);
  if (outcome != WorkOutcome::kDone) {
    runs_.RecordCancellation(run);
    (outcome == WorkOutcome::kCancelled ? counters_.cancelled
                                        : counters_.deadlines_passed)++;
    responder->Send(MakeJson(504, {{"code", "deadline-passed"}}));
    return;
  }

  runs_.RecordCompletion(run);
  counters_.completed++;
  if (IsSilentConnection(connection_id)) {
    work_.HoldUnanswered(responder);
    return;
  }
  responder->Send(
      MakeResponse(faults_.mismatched_response ? previous_ : identity));
  previous_ = identity;
}

HttpResponse TargetHandler::MakeResponse(const RequestIdentity& identity) {
  HttpResponse response = MakeJson(200, {{"target", options_.name},
                                         {"service", options_.service},
                                         {"request_id", identity.request_id},
                                         {"path", identity.path},
                                         {"body_hash", identity.body_hash}});
  response.headers.Add(kRequestIdHeader, identity.request_id);
  response.headers.Add("Medlar-Target", options_.name);
  AddDrainingHeader(response);
  if (faults_.truncated_response) {
    const std::size_t half = response.body.size() / 2;
    response.missing_bytes = response.body.size() - half;
    response.body.resize(half);
  }
  return response;
}

void TargetHandler::AddDrainingHeader(HttpResponse& response) const {
  if (faults_.draining) {
    response.headers.Add("Medlar-Target-Draining", "1");
  }
}

Duration TargetHandler::DrawServiceTime() {
  std::exponential_distribution<double> draw(1.0);
  double seconds = ToSeconds(options_.mean_service_time) *
                   std::min(draw(random_), kMaxServiceTimeInMeans);
  const Duration since = std::chrono::steady_clock::now() - faults_set_at_;
  if (since < faults_.cold_start) {
    const double left = 1.0 - ToSeconds(since) / ToSeconds(faults_.cold_start);
    seconds *= 1.0 + (kColdStartSlowdown - 1.0) * left;
  }
  return FromSeconds(seconds) + faults_.latency;
}

}  // namespace medlarcroft::standins
