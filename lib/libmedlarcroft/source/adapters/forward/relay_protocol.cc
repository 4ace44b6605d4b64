#include "adapters/forward/relay_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

#include "adapters/event/http_serialization.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::string_view kRequestHeader = "Medlar-Relay-Request";
constexpr std::string_view kTargetHeader = "Medlar-Relay-Target";
constexpr std::string_view kIncarnationHeader = "Medlar-Relay-Incarnation";
constexpr std::string_view kTimeLeftHeader = "Medlar-Relay-Time-Left-Ms";
constexpr std::string_view kRepeatableHeader = "Medlar-Relay-Repeatable";
constexpr std::string_view kHeadHeader = "Medlar-Relay-Head";
constexpr std::string_view kEndHeader = "Medlar-Relay-End";
constexpr std::string_view kReasonHeader = "Medlar-Relay-Reason";
constexpr std::string_view kReusedHeader = "Medlar-Relay-Connection-Reused";
constexpr std::string_view kEarlierHeader = "Medlar-Relay-Earlier-Responses";
constexpr std::string_view kRestHeader = "Medlar-Relay-Target-Rest-Ms";
constexpr std::string_view kLeavingHeader = "Medlar-Relay-Target-Leaving";

constexpr std::array<std::string_view, 8> kEndNames = {
    "answered", "refused",     "busy", "cut-off",
    "not-sent", "not-allowed", "lost", "timed-out"};
constexpr std::array<int, 8> kEndStatuses = {200, 503, 503, 503,
                                             503, 503, 502, 504};

bool IsRefusal(RelayEnd end) {
  return end == RelayEnd::kRefused || end == RelayEnd::kBusy ||
         end == RelayEnd::kCutOff;
}

std::optional<std::uint64_t> FindNumber(const HttpHeaders& headers,
                                        std::string_view name) {
  const std::string_view text = headers.Find(name).value_or("");
  std::uint64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_whole =
      parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return is_whole ? std::optional(number) : std::nullopt;
}

std::optional<RelayEnd> FindEnd(const HttpHeaders& headers,
                                std::string_view name) {
  const auto found =
      std::ranges::find(kEndNames, headers.Find(name).value_or(""));
  return found == kEndNames.end()
             ? std::nullopt
             : std::optional(static_cast<RelayEnd>(found - kEndNames.begin()));
}

void AddNotice(HttpHeaders& headers, const request_path::TargetNotice& notice) {
  headers.Remove(kRestHeader);
  headers.Remove(kLeavingHeader);
  if (notice.rest) {
    const auto rest =
        std::chrono::ceil<std::chrono::milliseconds>(*notice.rest);
    headers.Add(kRestHeader, std::to_string(rest.count()));
  }
  if (notice.is_leaving) {
    headers.Add(kLeavingHeader, "1");
  }
}

}  // namespace

std::string_view NameOf(RelayEnd end) {
  return kEndNames.at(static_cast<std::size_t>(end));
}

std::string EncodeRelayRequest(const RelayRequest& request,
                               std::string_view host) {
  HttpHeaders headers;
  headers.Add("Host", host);
  headers.Add("Content-Type", "application/octet-stream");
  headers.Add(kRequestHeader, request.id);
  headers.Add(kTargetHeader, request.target.name.Value());
  headers.Add(kIncarnationHeader, std::to_string(request.target.incarnation));
  headers.Add(kTimeLeftHeader,
              std::to_string(ToMilliseconds(request.time_left)));
  headers.Add(kRepeatableHeader, request.may_repeat ? "1" : "0");
  headers.Add(kHeadHeader, request.is_head_request ? "1" : "0");
  return FormatRequestHead("POST", kRelayPath, headers, request.text,
                           request.body ? request.body->bytes.size() : 0);
}

std::optional<RelayRequest> DecodeRelayRequest(HttpRequest call) {
  const HttpHeaders& headers = call.headers;
  const auto target = headers.Find(kTargetHeader);
  const auto incarnation = FindNumber(headers, kIncarnationHeader);
  const auto time_left = FindNumber(headers, kTimeLeftHeader);
  const auto may_repeat = FindNumber(headers, kRepeatableHeader);
  const auto is_head = FindNumber(headers, kHeadHeader);
  // A day in milliseconds; no request lasts so long.
  constexpr std::uint64_t kMaxTimeLeft = 86'400'000;
  if (!target || target->empty() || !incarnation || !time_left ||
      *time_left > kMaxTimeLeft || !may_repeat || !is_head ||
      call.body.empty()) {
    return std::nullopt;
  }
  return RelayRequest{
      .id = std::string(headers.Find(kRequestHeader).value_or("")),
      .target = {.name = TargetName(*target), .incarnation = *incarnation},
      .time_left = std::chrono::milliseconds(*time_left),
      .may_repeat = *may_repeat == 1,
      .is_head_request = *is_head == 1,
      .text = std::move(call.body),
      .lease = std::move(call.lease)};
}

HttpResponse EncodeRelayFailure(RelayEnd end,
                                const request_path::TargetNotice& notice) {
  HttpResponse response;
  response.status = kEndStatuses.at(static_cast<std::size_t>(end));
  // A version that doesn't know the reasons must still read that nothing was
  // sent: an unknown end would mean that the request may have run.
  const bool is_refusal = IsRefusal(end);
  response.headers.Add(kEndHeader,
                       NameOf(is_refusal ? RelayEnd::kRefused : end));
  if (is_refusal) {
    response.headers.Add(kReasonHeader, NameOf(end));
  }
  AddNotice(response.headers, notice);
  return response;
}

HttpResponse EncodeRelayedAnswer(HttpResponse answer,
                                 const request_path::TargetNotice& notice,
                                 const ConnectionUse& connection) {
  answer.headers = WithoutHopByHopHeaders(answer.headers);
  answer.headers.Set(kEndHeader, NameOf(RelayEnd::kAnswered));
  answer.headers.Set(kReusedHeader, connection.is_reused ? "1" : "0");
  answer.headers.Set(kEarlierHeader,
                     std::to_string(connection.earlier_responses));
  AddNotice(answer.headers, notice);
  return answer;
}

request_path::TargetNotice DecodeRelayedNotice(const HttpResponse& head) {
  // Well within what a duration holds.
  constexpr std::uint64_t kMaxRestMs = 1'000'000'000'000;
  request_path::TargetNotice notice;
  if (!head.headers.Find(kEndHeader)) {
    return notice;
  }
  if (const auto rest = FindNumber(head.headers, kRestHeader)) {
    notice.rest = std::chrono::milliseconds(std::min(*rest, kMaxRestMs));
  }
  notice.is_leaving = head.headers.Find(kLeavingHeader) == "1";
  return notice;
}

ConnectionUse DecodeConnectionUse(const HttpResponse& response) {
  const std::uint64_t earlier =
      FindNumber(response.headers, kEarlierHeader).value_or(0);
  return {.is_reused = FindNumber(response.headers, kReusedHeader) == 1,
          .earlier_responses = static_cast<std::uint32_t>(
              std::min<std::uint64_t>(earlier, UINT32_MAX))};
}

std::optional<RelayEnd> DecodeRelayResponse(HttpResponse& response) {
  auto end = FindEnd(response.headers, kEndHeader);
  if (!end) {
    return std::nullopt;
  }
  const auto reason = FindEnd(response.headers, kReasonHeader);
  if (end == RelayEnd::kRefused && reason && IsRefusal(*reason)) {
    end = reason;
  }
  response.headers.Remove(kEndHeader);
  response.headers.Remove(kReasonHeader);
  response.headers.Remove(kReusedHeader);
  response.headers.Remove(kEarlierHeader);
  response.headers.Remove(kRestHeader);
  response.headers.Remove(kLeavingHeader);
  return end;
}

}  // namespace medlarcroft::adapters
