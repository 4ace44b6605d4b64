#include "adapters/http/operator_routes.h"

#include <charconv>
#include <span>
#include <string>

#include "adapters/http/operator_responses.h"

namespace medlarcroft::adapters {

namespace {

using catalogue::OperatorChange;
using catalogue::Precondition;

constexpr std::string_view kRoot = "/v1/catalogue";
constexpr std::string_view kHistorySuffix = "/history";
constexpr std::size_t kDefaultHistoryLimit = 20;
constexpr std::size_t kMaxHistoryLimit = 200;

std::optional<std::uint64_t> ParseCount(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && parsed_end == end ? std::optional(value)
                                                   : std::nullopt;
}

/// @return the version of a strong ETag such as "3", including its quotes.
std::optional<std::uint64_t> ParseETag(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  return ParseCount(text.substr(1, text.size() - 2));
}

/// @return nullopt when the headers contradict each other or are malformed.
std::optional<Precondition> ParsePrecondition(const HttpHeaders& headers) {
  const auto if_match = headers.Find("If-Match");
  const auto if_none_match = headers.Find("If-None-Match");
  if (if_match && if_none_match) {
    return std::nullopt;
  }
  if (if_none_match) {
    return *if_none_match == "*"
               ? std::optional(
                     Precondition{.kind = Precondition::Kind::kMustNotExist})
               : std::nullopt;
  }
  if (!if_match) {
    return Precondition();
  }
  const auto version = ParseETag(*if_match);
  if (!version || *version == 0) {
    return std::nullopt;
  }
  return Precondition{.kind = Precondition::Kind::kVersion,
                      .version = *version};
}

std::optional<OperatorChange> ParseChange(const HttpRequest& request,
                                          const OwnerName& owner,
                                          const EntryName& entry) {
  const auto precondition = ParsePrecondition(request.headers);
  if (!precondition) {
    return std::nullopt;
  }
  return OperatorChange{
      .owner = owner,
      .entry = entry,
      .document = request.body,
      .precondition = *precondition,
      .change_id =
          std::string(request.headers.Find("Medlar-Change-Id").value_or(""))};
}

template <typename Value>
HttpResponse ToResponse(
    const Result<Value, catalogue::OperatorFailure>& result) {
  return IsOk(result) ? MakeResponse(ValueOf(result))
                      : MakeResponse(ErrorOf(result));
}

}  // namespace

OperatorRoutes::OperatorRoutes(const Options& options,
                               catalogue::OperatorApi& api)
    : tokens_(options.tokens), api_(api) {}

bool OperatorRoutes::IsMatch(std::string_view path) {
  return path.starts_with(kRoot) &&
         (path.size() == kRoot.size() || path[kRoot.size()] == '/');
}

std::optional<HttpResponse> OperatorRoutes::Handle(const HttpRequest& request) {
  if (!IsMatch(request.path)) {
    return std::nullopt;
  }
  const auto owner =
      tokens_.FindOwner(request.headers.Find("Authorization").value_or(""));
  if (!owner) {
    HttpResponse response = MakeErrorResponse(401, "unknown-operator");
    response.headers.Add("WWW-Authenticate", "Bearer");
    return response;
  }

  return Dispatch(Resolve(request.path), request, *owner);
}

OperatorRoutes::Resource OperatorRoutes::Resolve(std::string_view path) {
  static constexpr Route kRootRoutes[] = {{"GET", &OperatorRoutes::List}};
  static constexpr Route kEntryRoutes[] = {{"GET", &OperatorRoutes::Get},
                                           {"PUT", &OperatorRoutes::Put},
                                           {"DELETE", &OperatorRoutes::Delete}};
  static constexpr Route kHistoryRoutes[] = {{"GET", &OperatorRoutes::History}};

  path.remove_prefix(kRoot.size());
  if (path.empty() || path == "/") {
    return {.routes = kRootRoutes, .entry = EntryName()};
  }
  path.remove_prefix(1);
  if (path.ends_with(kHistorySuffix)) {
    path.remove_suffix(kHistorySuffix.size());
    return {.routes = kHistoryRoutes, .entry = EntryName(path)};
  }
  return {.routes = kEntryRoutes, .entry = EntryName(path)};
}

HttpResponse OperatorRoutes::Dispatch(const Resource& resource,
                                      const HttpRequest& request,
                                      const OwnerName& owner) {
  std::string allowed;
  for (const Route& route : resource.routes) {
    if (route.method == request.method) {
      return (this->*route.handle)(request, owner, resource.entry);
    }
    allowed += (allowed.empty() ? "" : ", ") + std::string(route.method);
  }
  HttpResponse response = MakeErrorResponse(405, "method-not-allowed");
  response.headers.Add("Allow", allowed);
  return response;
}

HttpResponse OperatorRoutes::List(const HttpRequest& request,
                                  const OwnerName& /*owner*/,
                                  const EntryName& /*entry*/) {
  return MakeResponse(api_.List(request.FindQuery("kind").value_or("")));
}

HttpResponse OperatorRoutes::Get(const HttpRequest& /*request*/,
                                 const OwnerName& /*owner*/,
                                 const EntryName& entry) {
  return ToResponse(api_.Get(entry));
}

HttpResponse OperatorRoutes::Put(const HttpRequest& request,
                                 const OwnerName& owner,
                                 const EntryName& entry) {
  const auto change = ParseChange(request, owner, entry);
  return change ? ToResponse(api_.Put(*change))
                : MakeErrorResponse(400, "bad-precondition");
}

HttpResponse OperatorRoutes::Delete(const HttpRequest& request,
                                    const OwnerName& owner,
                                    const EntryName& entry) {
  const auto change = ParseChange(request, owner, entry);
  return change ? ToResponse(api_.Delete(*change))
                : MakeErrorResponse(400, "bad-precondition");
}

HttpResponse OperatorRoutes::History(const HttpRequest& request,
                                     const OwnerName& /*owner*/,
                                     const EntryName& entry) {
  std::size_t limit = kDefaultHistoryLimit;
  if (const auto text = request.FindQuery("limit")) {
    const auto count = ParseCount(*text);
    if (!count || *count == 0 || *count > kMaxHistoryLimit) {
      return MakeErrorResponse(400, "bad-limit");
    }
    limit = *count;
  }
  return ToResponse(api_.History(entry, limit));
}

}  // namespace medlarcroft::adapters
