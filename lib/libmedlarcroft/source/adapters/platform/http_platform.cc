#include "adapters/platform/http_platform.h"

#include <optional>
#include <utility>

#include "adapters/platform/platform_json.h"

namespace medlarcroft::adapters {

namespace {

using ports::StoreFailure;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kFirstError = 400;
/// A few background threads make one call at a time each.
constexpr long kMaxIdleConnections = 8;

/// A call without a complete answer is known to have had no effect only when
/// nothing was sent. After a timeout or reset the outcome is unknown.
StoreFailure FailureOf(const TransportError& error) {
  if (error.is_proved_unsent) {
    return StoreFailure::kUnavailable;
  }
  // An answer was received but exceeded the size limit.
  return error.failure == TransportFailure::kTooLarge
             ? StoreFailure::kBadAnswer
             : StoreFailure::kOutcomeUnknown;
}

/// A 5xx status may come from a proxy that lost the answer of the service, so
/// only the error code of the service itself proves that the call had no
/// effect.
StoreFailure FailureOf(const ClientResponse& answer) {
  return IsNotDoneBody(answer.body) ? StoreFailure::kUnavailable
                                    : StoreFailure::kOutcomeUnknown;
}

/// @return the result of `parse` for an answer with status 200, or the failure.
template <typename Value>
Result<Value, StoreFailure> ParseAnswer(
    const Result<ClientResponse, StoreFailure>& answer,
    std::optional<Value> (*parse)(std::string_view body)) {
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  if (ValueOf(answer).status != kOk) {
    return StoreFailure::kBadAnswer;
  }
  std::optional<Value> value = parse(ValueOf(answer).body);
  if (!value) {
    return StoreFailure::kBadAnswer;
  }
  return *std::move(value);
}

}  // namespace

HttpPlatform::HttpPlatform(Options options)
    : options_(std::move(options)),
      client_({.max_idle_connections = kMaxIdleConnections,
               .ca_file = options_.ca_file}) {}

Result<ports::Row, StoreFailure> HttpPlatform::Read(std::string_view key) {
  return ParseAnswer(Send(MakeRequest("GET", "/table/" + PercentEncode(key))),
                     &ParseRow);
}

Result<std::vector<ports::Row>, StoreFailure> HttpPlatform::Scan(
    std::string_view first,
    std::string_view last,
    std::size_t limit) {
  const std::string path = "/table?first=" + PercentEncode(first) +
                           "&last=" + PercentEncode(last) +
                           "&limit=" + std::to_string(limit);
  return ParseAnswer(Send(MakeRequest("GET", path)), &ParseRows);
}

Result<ports::TransactionOutcome, StoreFailure> HttpPlatform::Commit(
    const ports::Transaction& transaction) {
  std::optional<std::string> body = FormatTransaction(transaction);
  if (!body) {
    return StoreFailure::kUnavailable;  // Never sent, so it had no effect.
  }

  ClientRequest request = MakeRequest("POST", "/table/commit");
  request.body = *std::move(body);
  // On a reused connection libcurl may send the request twice. The second one
  // would conflict with the versions written by the first and return "not
  // committed" although the first took effect. Callers can't tell this false
  // conflict from a real one. libcurl never resends on a fresh connection,
  // which costs about 1 ms per commit.
  request.needs_fresh_connection = true;
  return ParseAnswer(Send(std::move(request)), &ParseOutcome);
}

Result<std::optional<std::string>, StoreFailure> HttpPlatform::Get(
    std::string_view name) {
  auto answer = Send(MakeRequest("GET", "/objects/" + PercentEncode(name)));
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  if (ValueOf(answer).status == kNotFound) {
    return std::optional<std::string>();
  }
  if (ValueOf(answer).status != kOk) {
    return StoreFailure::kBadAnswer;
  }
  return std::optional(TakeValue(std::move(answer)).body);
}

Result<Success, StoreFailure> HttpPlatform::Put(std::string_view name,
                                                std::string_view bytes) {
  // Objects are written as a whole and under new names, so a resend does no
  // harm.
  ClientRequest request = MakeRequest("PUT", "/objects/" + PercentEncode(name));
  request.body = std::string(bytes);
  const auto answer = Send(std::move(request));
  if (!IsOk(answer)) {
    return ErrorOf(answer);
  }
  const int status = ValueOf(answer).status;
  if (status != kOk && status != kNoContent) {
    return StoreFailure::kBadAnswer;
  }
  return Success();
}

Result<std::vector<ports::ListedHost>, StoreFailure> HttpPlatform::List() {
  return ParseAnswer(Send(MakeRequest("GET", "/hosts")), &ParseHosts);
}

ClientRequest HttpPlatform::MakeRequest(std::string method,
                                        const std::string& path) const {
  return {.method = std::move(method),
          .url = options_.base_url + path,
          .headers = {{"Content-Type", "application/json"}},
          .timeout = options_.timeout,
          .max_answer_bytes = options_.max_answer_bytes};
}

Result<ClientResponse, StoreFailure> HttpPlatform::Send(ClientRequest request) {
  ClientResult result = client_.SendAndWait(std::move(request));
  if (!IsOk(result)) {
    return FailureOf(ErrorOf(result));
  }
  if (ValueOf(result).status >= kFirstError &&
      ValueOf(result).status != kNotFound) {
    return FailureOf(ValueOf(result));
  }
  return TakeValue(std::move(result));
}

}  // namespace medlarcroft::adapters
