#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_CLIENT_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_CLIENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::adapters {

/// @brief The error when no steerd responded.
struct NoSteerdResponse {
  /// False if a steerd may have received the request.
  bool is_proved_unsent = true;
};

/// @brief A response, and whether earlier attempts are unresolved.
struct SteerdResponse {
  ClientResponse response;
  /// An earlier steerd may have received the request without responding.
  bool has_unanswered_attempt = false;
};

/// @brief The response of one steerd, or why there is none.
struct SteerdResult {
  std::string url;
  Result<ClientResponse, TransportError> response;
};

/// @brief HTTP client for a list of steerds, with failover to the next one.
class SteerdClient {
 public:
  struct Options {
    std::vector<std::string> urls;  ///< E.g. "http://127.0.0.1:17001".
    std::string token;              ///< No token is sent if empty.
    /// For changes; longer than the 10 s that the platform may take for one.
    Duration timeout = std::chrono::seconds(15);
    /// For reads; short, so that a paused steerd does not block the operator.
    Duration read_timeout = std::chrono::seconds(3);
    std::string ca_file;
  };

  explicit SteerdClient(Options options);

  [[nodiscard]] Duration ReadTimeout() const { return options_.read_timeout; }

  /// @brief Tries one steerd after another until one responds. A change carries
  /// its change id, so retrying it at the next steerd after a lost response
  /// does not apply it twice. Later requests start with the steerd that
  /// responded last.
  /// @param path path and query, percent-encoded.
  [[nodiscard]] Result<SteerdResponse, NoSteerdResponse> Send(
      const std::string& method,
      const std::string& path,
      const HttpHeaders& headers = {},
      const std::string& body = {});

  /// @brief Sends a GET request to all steerds in parallel.
  /// @param timeout for each request.
  /// @return the results in the order of the URLs.
  [[nodiscard]] std::vector<SteerdResult> GetFromAll(const std::string& path,
                                                     Duration timeout);

 private:
  [[nodiscard]] ClientRequest MakeRequest(const std::string& url,
                                          const std::string& method,
                                          const std::string& path) const;

  const Options options_;
  std::size_t preferred_ = 0;  ///< Index of the URL that responded last.
  HttpClient client_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_CLIENT_H_
