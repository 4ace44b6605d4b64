#include "adapters/entry/request_parser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <utility>
#include <vector>

#include "adapters/entry/protocol.h"

namespace medlarcroft::adapters {

namespace {

/// Limit for names of services and brands, which are used as metric labels and
/// map keys.
constexpr std::size_t kMaxNameBytes = 64;

/// One hour. Requests of the slowest class are answered within the school day,
/// and callers poll for those answers.
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

constexpr std::array<std::string_view, 12> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Host",
    "Content-Length",
    "Proxy-Connection",
    "Expect",
    "Proxy-Authorization"};

bool IsValidName(std::string_view text) {
  const auto is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

std::optional<Duration> ParseDeadline(std::string_view text) {
  std::int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, milliseconds);
  if (error != std::errc() || stop != end || milliseconds < 1 ||
      milliseconds > kMaxDeadlineMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

template <typename Names>
bool Contains(const Names& names, std::string_view name) {
  return std::ranges::any_of(names, [name](const auto& other) {
    return IsSameHeaderName(other, name);
  });
}

bool IsReserved(std::string_view name) {
  constexpr std::string_view kOwnPrefix = "medlar-";
  return name.size() >= kOwnPrefix.size() &&
         IsSameHeaderName(name.substr(0, kOwnPrefix.size()), kOwnPrefix);
}

}  // namespace

HttpHeaders ForwardedHeaders(const HttpHeaders& headers,
                             std::span<const std::string_view> kept) {
  const std::vector<std::string> named = HeadersNamedByConnection(headers);
  HttpHeaders forwarded;
  for (const HttpHeader& field : headers.Fields()) {
    const bool is_stripped = IsReserved(field.name) ||
                             Contains(kHopByHopHeaders, field.name) ||
                             Contains(named, field.name);
    if (!is_stripped || Contains(kept, field.name)) {
      forwarded.Add(field.name, field.value);
    }
  }
  return forwarded;
}

std::optional<std::string_view> ExtractServiceName(
    std::string_view raw_target) {
  if (!raw_target.starts_with(protocol::kServicesPrefix)) {
    return std::nullopt;
  }
  const std::string_view rest =
      raw_target.substr(protocol::kServicesPrefix.size());
  const std::string_view service = rest.substr(0, rest.find_first_of("/?"));
  if (!IsValidName(service)) {
    return std::nullopt;
  }
  return service;
}

Result<ServiceRequest, ProblemCode> ParseServiceRequest(HttpRequest&& request) {
  const auto service = ExtractServiceName(request.raw_target);
  if (!service) {
    return ProblemCode::kUnknownPath;
  }
  const auto brand = request.headers.Find(protocol::kBrand);
  if (!brand) {
    return ProblemCode::kMissingBrand;
  }
  if (!IsValidName(*brand)) {
    return ProblemCode::kBadBrand;
  }

  ServiceRequest parsed;
  parsed.service = ServiceName(*service);
  parsed.brand = BrandName(*brand);
  if (const auto deadline = request.headers.Find(protocol::kDeadline)) {
    parsed.time_left = ParseDeadline(*deadline);
    if (!parsed.time_left) {
      return ProblemCode::kBadDeadline;
    }
  }
  if (const auto key = request.headers.Find(protocol::kIdempotencyKey)) {
    parsed.key_text = std::string(*key);
  }
  if (const auto forwarder = request.headers.Find(protocol::kForwardedBy)) {
    parsed.forwarded_by = std::string(*forwarder);
    parsed.forward_proof =
        request.headers.Find(protocol::kForwardProof).value_or("");
  }

  const std::string_view raw_target = request.raw_target;
  const std::string_view path =
      raw_target.substr(protocol::kServicesPrefix.size() + service->size());
  parsed.target_path = path.starts_with('/') ? "" : "/";
  parsed.target_path += path;
  parsed.method = std::move(request.method);
  parsed.headers = ForwardedHeaders(request.headers);
  parsed.body = std::move(request.body);
  return parsed;
}

}  // namespace medlarcroft::adapters
