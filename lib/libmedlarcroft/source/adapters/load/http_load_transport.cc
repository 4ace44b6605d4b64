#include "adapters/load/http_load_transport.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "adapters/process/system_clock.h"

namespace medlarcroft::adapters {

namespace {

using load_generator::ExchangeFailure;
using load_generator::ExchangeResult;

ExchangeFailure FailureOf(const TransportError& error) {
  if (error.is_proved_unsent) {
    return ExchangeFailure::kNeverSent;
  }
  switch (error.failure) {
    case TransportFailure::kTimedOut:
      return ExchangeFailure::kTimedOut;
    case TransportFailure::kTruncated:
    case TransportFailure::kUnframed:
      return ExchangeFailure::kTruncated;
    default:
      return ExchangeFailure::kBroken;
  }
}

std::string ToLowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char symbol) {
                   return static_cast<char>(std::tolower(symbol));
                 });
  return text;
}

}  // namespace

ExchangeResult ToExchangeResult(ClientResult client_result) {
  if (!IsOk(client_result)) {
    return {.failure = FailureOf(ErrorOf(client_result))};
  }
  ClientResponse response = TakeValue(std::move(client_result));
  ExchangeResult result{.status = response.status};
  for (const HttpHeader& field : response.headers.Fields()) {
    result.headers.push_back({ToLowerCase(field.name), field.value});
  }
  result.body = std::move(response.body);
  return result;
}

void HttpLoadTransport::Send(load_generator::OutgoingRequest request) {
  ClientRequest out{.method = std::move(request.method),
                    .url = std::move(request.url),
                    .body = std::move(request.body),
                    .timeout = request.timeout,
                    .needs_fresh_connection = request.needs_fresh_connection};
  for (const load_generator::HeaderField& field : request.headers) {
    out.headers.Add(field.name, field.value);
  }
  client_.Send(std::move(out), [this, id = request.id](ClientResult result) {
    ReceivedResult received{.id = id,
                            .result = ToExchangeResult(std::move(result)),
                            .at = SystemClock().Now()};
    {
      const std::lock_guard lock(mutex_);
      results_.push_back(std::move(received));
    }
    condition_.notify_one();
  });
}

std::vector<HttpLoadTransport::ReceivedResult> HttpLoadTransport::Wait(
    MonotonicTime until) {
  const Duration left = until - SystemClock().Now();
  std::unique_lock lock(mutex_);
  condition_.wait_for(lock, std::max(left, Duration::zero()),
                      [this] { return !results_.empty(); });
  return std::exchange(results_, {});
}

}  // namespace medlarcroft::adapters
