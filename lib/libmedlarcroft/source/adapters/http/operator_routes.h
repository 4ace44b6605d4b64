#ifndef MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_ROUTES_H_
#define MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_ROUTES_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "adapters/http/http_message.h"
#include "adapters/http/operator_tokens.h"
#include "medlarcroft/catalogue/entry_codec.h"
#include "medlarcroft/catalogue/operator_api.h"

namespace medlarcroft::adapters {

/// @brief HTTP routes of `OperatorApi`:
///
///     GET    /v1/catalogue[?kind=K]            entries in effect on this host
///     GET    /v1/catalogue/{entry}             ETag is the version
///     PUT    /v1/catalogue/{entry}             If-Match or If-None-Match: *
///     DELETE /v1/catalogue/{entry}             If-Match
///     GET    /v1/catalogue/{entry}/history[?limit=N]
///
/// Every route requires a bearer token. `Medlar-Change-Id` identifies a change,
/// so that repeating the request resolves one whose response was lost. Errors
/// are problem+json with a machine-readable code, and `Medlar-Outcome` says
/// whether the change was made.
class OperatorRoutes {
 public:
  struct Options {
    std::vector<OperatorToken> tokens;
  };

  OperatorRoutes(const Options& options, catalogue::OperatorApi& api);

  /// @return whether the path belongs to these routes.
  [[nodiscard]] static bool IsMatch(std::string_view path);
  /// @return the largest body that any of these routes accepts, bytes.
  [[nodiscard]] static constexpr std::size_t MaxBodyBytes() {
    return catalogue::kMaxEntryBytes;
  }

  /// @brief Blocks on the platform; call it from a worker thread.
  /// @return the response, or nullopt when the path belongs to no route.
  [[nodiscard]] std::optional<HttpResponse> Handle(const HttpRequest& request);

 private:
  using Handler = HttpResponse (OperatorRoutes::*)(const HttpRequest& request,
                                                   const OwnerName& owner,
                                                   const EntryName& entry);
  struct Route {
    std::string_view method;
    Handler handle;
  };

  /// The resource that a path identifies, and its routes.
  struct Resource {
    std::span<const Route> routes;
    EntryName entry;
  };

  [[nodiscard]] static Resource Resolve(std::string_view path);
  HttpResponse Dispatch(const Resource& resource,
                        const HttpRequest& request,
                        const OwnerName& owner);
  HttpResponse List(const HttpRequest& request,
                    const OwnerName& owner,
                    const EntryName& entry);
  HttpResponse Get(const HttpRequest& request,
                   const OwnerName& owner,
                   const EntryName& entry);
  HttpResponse Put(const HttpRequest& request,
                   const OwnerName& owner,
                   const EntryName& entry);
  HttpResponse Delete(const HttpRequest& request,
                      const OwnerName& owner,
                      const EntryName& entry);
  HttpResponse History(const HttpRequest& request,
                       const OwnerName& owner,
                       const EntryName& entry);

  const OperatorTokens tokens_;
  catalogue::OperatorApi& api_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_ROUTES_H_
