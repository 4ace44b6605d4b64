#include "medlarcroft/load_generator/load_session.h"

#include <algorithm>
#include <utility>

#include "medlarcroft/load_generator/body_hash.h"
#include "medlarcroft/telemetry/trace.h"

namespace medlarcroft::load_generator {

namespace {

constexpr Duration kLookupTimeout = std::chrono::seconds(1);
constexpr Duration kBaseBackoff = std::chrono::milliseconds(10);
constexpr unsigned kKeysPerRequest = 16;
/// Hosts that one request tries to get keys from.
constexpr std::uint32_t kMaxKeyAttempts = 3;
/// A caller waits this much longer than its deadline, so that it receives the
/// system's own response to a late request.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(200);

constexpr int kTooManyRequestsStatus = 429;
constexpr int kFirstServerErrorStatus = 500;

bool IsRetryable(const ExchangeResult& result) {
  return result.failure || result.status == kTooManyRequestsStatus ||
         result.status >= kFirstServerErrorStatus;
}

std::string MakeBody(std::string_view path, std::size_t size) {
  std::string body;
  while (body.size() < size) {
    body += path;
    body += ' ';
  }
  body.resize(size);
  return body;
}

std::string MakeTraceparent(ports::RandomSource& random) {
  telemetry::TraceContext context;
  for (std::uint8_t& byte : context.trace_id) {
    byte = static_cast<std::uint8_t>(random.NextBelow(255) + 1);
  }
  for (std::uint8_t& byte : context.span_id) {
    byte = static_cast<std::uint8_t>(random.NextBelow(255) + 1);
  }
  return telemetry::FormatTraceparent(context);
}

}  // namespace

LoadSession::LoadSession(const LoadPlan& plan,
                         Options options,
                         ports::RandomSource& arrivals,
                         ports::RandomSource& choices,
                         LoadTransport& transport,
                         MonotonicTime start)
    : plan_(plan),
      options_(std::move(options)),
      random_(choices),
      transport_(transport),
      start_(start),
      schedule_(plan, arrivals),
      next_arrival_(schedule_.Next()),
      statistics_(plan) {}

std::optional<MonotonicTime> LoadSession::Step(MonotonicTime now) {
  while (next_arrival_ && start_ + next_arrival_->at <= now) {
    Begin(*next_arrival_, now);
    next_arrival_ = schedule_.Next();
  }
  while (!retries_.empty() && retries_.begin()->first <= now) {
    const RequestNumber number = retries_.begin()->second;
    retries_.erase(retries_.begin());
    Advance(number, now);
  }

  std::optional<MonotonicTime> next;
  if (next_arrival_) {
    next = start_ + next_arrival_->at;
  }
  if (!retries_.empty()) {
    next =
        std::min(next.value_or(MonotonicTime::max()), retries_.begin()->first);
  }
  return next;
}

bool LoadSession::IsDone() const {
  return !next_arrival_ && requests_.empty();
}

const ClassLoad& LoadSession::ClassOf(const Request& request) const {
  return plan_.classes[request.arrival.class_index];
}

LookupCache::Subject LoadSession::SubjectOf(const Request& request) const {
  return {ClassOf(request).service,
          plan_.brands[request.arrival.brand_index].brand};
}

Duration LoadSession::TimeLeft(const Request& request,
                               MonotonicTime now) const {
  return start_ + request.arrival.at + ClassOf(request).deadline - now;
}

std::uint64_t LoadSession::Register(Pending pending) {
  pending_[++last_id_] = std::move(pending);
  return last_id_;
}

void LoadSession::Begin(const Arrival& arrival, MonotonicTime now) {
  const RequestNumber number = ++last_number_;
  Request& request = requests_[number];
  request.arrival = arrival;
  request.path = options_.run_name + "-" + std::to_string(number);
  request.body = MakeBody(request.path, ClassOf(request).body_bytes);
  if (requests_.size() > plan_.max_in_flight) {
    statistics_.RecordCause(arrival.class_index, "too-many-in-flight");
    Finish(number, now);
    return;
  }
  Advance(number, now);
}

void LoadSession::Advance(RequestNumber number, MonotonicTime now) {
  Request& request = requests_.at(number);
  const LookupCache::Subject subject = SubjectOf(request);
  if (TimeLeft(request, now) <= Duration::zero()) {
    Finish(number, now);
    return;
  }
  if (!cache_.IsFresh(subject, now)) {
    std::vector<RequestNumber>& waiting = waiting_[subject];
    waiting.push_back(number);
    if (waiting.size() == 1) {
      SendLookup(subject, 0);
    }
    return;
  }

  auto host = cache_.Choose(subject, request.unreachable, random_);
  if (!host) {
    // All hosts were unreachable. Try them again, as they may have recovered.
    request.unreachable.clear();
    host = cache_.Choose(subject, request.unreachable, random_);
  }
  if (!host) {
    Finish(number, now);
    return;
  }
  if (ClassOf(request).needs_key && request.key.empty()) {
    request.key = cache_.TakeKey(subject).value_or("");
    if (request.key.empty()) {
      SendKeysRequest(number, host->address);
      return;
    }
  }
  SendAttempt(number, *host, now);
}

void LoadSession::SendLookup(const LookupCache::Subject& subject,
                             std::uint32_t failed_attempts) {
  const std::string& base =
      options_.lookup_urls[next_lookup_url_++ % options_.lookup_urls.size()];
  OutgoingRequest request{.url = base + "/v1/lookup?service=" + subject.first +
                                 "&brand=" + subject.second,
                          .timeout = kLookupTimeout};
  request.id = Register({.exchange = Exchange::kLookup,
                         .subject = subject,
                         .failed_attempts = failed_attempts});
  transport_.Send(std::move(request));
}

void LoadSession::SendKeysRequest(RequestNumber number,
                                  const std::string& address) {
  requests_.at(number).address = address;
  const LookupCache::Subject subject = SubjectOf(requests_.at(number));
  OutgoingRequest request{.method = "POST",
                          .url = "http://" + address +
                                 "/v1/keys?service=" + subject.first +
                                 "&count=" + std::to_string(kKeysPerRequest),
                          .timeout = kLookupTimeout};
  request.id = Register(
      {.exchange = Exchange::kKeys, .number = number, .subject = subject});
  transport_.Send(std::move(request));
}

void LoadSession::SendAttempt(RequestNumber number,
                              const EntryHost& host,
                              MonotonicTime now) {
  Request& request = requests_.at(number);
  const ClassLoad& load = ClassOf(request);
  const Duration left = TimeLeft(request, now);
  request.attempts++;
  request.was_sent = true;
  request.address = host.address;

  OutgoingRequest outgoing{
      .method = load.method,
      .url = "http://" + host.address + "/v1/services/" + load.service + "/" +
             request.path,
      .headers = {{"Medlar-Brand", SubjectOf(request).second},
                  {"Medlar-Deadline-Ms", std::to_string(std::max<std::int64_t>(
                                             1, ToMilliseconds(left)))},
                  {"traceparent", MakeTraceparent(random_)}},
      .body = request.body,
      .timeout = left + kDeadlineGrace,
      .needs_fresh_connection = load.needs_key};
  if (!request.key.empty()) {
    outgoing.headers.push_back({"Idempotency-Key", request.key});
  }
  outgoing.id = Register({.exchange = Exchange::kAttempt, .number = number});
  transport_.Send(std::move(outgoing));
}

void LoadSession::OnResult(std::uint64_t id,
                           const ExchangeResult& result,
                           MonotonicTime now) {
  const auto node = pending_.extract(id);
  if (node.empty()) {
    return;
  }
  const Pending& pending = node.mapped();
  switch (pending.exchange) {
    case Exchange::kLookup:
      OnLookup(pending, result, now);
      return;
    case Exchange::kKeys:
      OnKeys(pending, result, now);
      return;
    case Exchange::kAttempt:
      OnAttempt(pending.number, result, now);
      return;
  }
}

void LoadSession::OnLookup(const Pending& pending,
                           const ExchangeResult& result,
                           MonotonicTime now) {
  auto response = ParseLookupResponse(result.body);
  const bool is_good =
      !result.failure && result.status == 200 && IsOk(response);
  if (!is_good && pending.failed_attempts + 1 < options_.lookup_urls.size()) {
    SendLookup(pending.subject, pending.failed_attempts + 1);
    return;
  }

  const std::vector<RequestNumber> waiting =
      std::exchange(waiting_[pending.subject], {});
  if (is_good) {
    cache_.Put(pending.subject, TakeValue(std::move(response)), now);
  }
  for (const RequestNumber number : waiting) {
    if (is_good) {
      Advance(number, now);
      continue;
    }
    statistics_.RecordCause(requests_.at(number).arrival.class_index,
                            "look-up-" + CauseOf(result));
    Finish(number, now);
  }
}

void LoadSession::OnKeys(const Pending& pending,
                         const ExchangeResult& result,
                         MonotonicTime now) {
  std::vector<std::string> keys = ParseKeys(result.body);
  Request& request = requests_.at(pending.number);
  if (result.failure == ExchangeFailure::kNeverSent &&
      ++request.failed_key_attempts < kMaxKeyAttempts) {
    request.unreachable.insert(request.address);
    Advance(pending.number, now);
    return;
  }
  if (result.failure || keys.empty()) {
    statistics_.RecordCause(request.arrival.class_index,
                            "keys-" + CauseOf(result));
    Finish(pending.number, now);
    return;
  }
  request.key = std::move(keys.back());
  keys.pop_back();
  cache_.AddKeys(pending.subject, std::move(keys));
  Advance(pending.number, now);
}

void LoadSession::OnAttempt(RequestNumber number,
                            const ExchangeResult& result,
                            MonotonicTime now) {
  Request& request = requests_.at(number);
  const std::string body_hash = HashBody(request.body);
  const AttemptVerdict verdict = CheckResponse(
      result, {.path_suffix = request.path, .body_hash = body_hash});
  statistics_.RecordResponse(verdict.fault, request.path);
  auditor_.Record(request.path, request.key, verdict.outcome);
  request.last_outcome = verdict.outcome;
  if (verdict.is_success) {
    request.is_success = true;
    Finish(number, now);
    return;
  }
  statistics_.RecordCause(request.arrival.class_index, CauseOf(result));
  RetryOrFinish(number, result, now);
}

void LoadSession::RetryOrFinish(RequestNumber number,
                                const ExchangeResult& result,
                                MonotonicTime now) {
  Request& request = requests_.at(number);
  const ClassLoad& load = ClassOf(request);
  if (result.failure == ExchangeFailure::kNeverSent) {
    request.unreachable.insert(request.address);
  }

  const Duration backoff =
      kBaseBackoff * (1U << std::min(request.attempts, 6U));
  const MonotonicTime at = now + std::max(RetryAfterOf(result), backoff);
  const bool is_in_time = TimeLeft(request, at) > Duration::zero();
  const bool wants_retry = random_.NextUnit() < load.retry_ratio;
  if (request.attempts < load.max_attempts && is_in_time && wants_retry &&
      IsRetryable(result)) {
    retries_.emplace(at, number);
    return;
  }
  Finish(number, now);
}

void LoadSession::Finish(RequestNumber number, MonotonicTime now) {
  const auto node = requests_.extract(number);
  const Request& request = node.mapped();
  RequestEnd end = RequestEnd::kUnsent;
  if (request.is_success) {
    end = RequestEnd::kRan;
  } else if (request.was_sent) {
    end = request.last_outcome == idempotency::Outcome::kNotRun
              ? RequestEnd::kRefused
              : RequestEnd::kFailed;
  }
  statistics_.RecordEnd({.class_index = request.arrival.class_index,
                         .end = end,
                         .intended_at = request.arrival.at,
                         .latency = now - (start_ + request.arrival.at),
                         .attempts = request.attempts});
}

}  // namespace medlarcroft::load_generator
