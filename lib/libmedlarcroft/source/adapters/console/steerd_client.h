#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_CLIENT_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_CLIENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::adapters {

/// @brief No steerd gave an answer.
struct NoSteerdAnswered {
  /// False when a request may have arrived somewhere.
  bool is_proved_unsent = true;
};

/// @brief An answer, and what went before it.
struct SteerdReply {
  ClientResponse answer;
  /// An earlier steerd may have got the request and not answered.
  bool had_lost_answer = false;
};

/// @brief One steerd's answer, or none, in the order of the URLs.
struct SteerdAnswer {
  std::string url;
  Result<ClientResponse, TransportError> result;
};

/// @brief Talks to the first steerd that answers.
class SteerdClient {
 public:
  struct Options {
    std::vector<std::string> urls;  ///< For example "http://127.0.0.1:17001".
    std::string token;              ///< Empty: none is sent.
    /// For changes: longer than the ten seconds that one may take at the
    /// platform.
    Duration timeout = std::chrono::seconds(15);
    /// For reads: a paused steerd must not keep an operator waiting.
    Duration read_timeout = std::chrono::seconds(3);
    std::string ca_file;
  };

  explicit SteerdClient(Options options);

  [[nodiscard]] Duration ReadTimeout() const { return options_.read_timeout; }

  /// @brief Sends to one steerd after the other until one answers. A change
  /// carries its change id, so that sending it to the next one after a lost
  /// answer makes no second change. Later requests begin with the steerd that
  /// answered last.
  /// @param path with the query, percent-encoded.
  [[nodiscard]] Result<SteerdReply, NoSteerdAnswered> Send(
      const std::string& method,
      const std::string& path,
      const HttpHeaders& headers = {},
      const std::string& body = {});

  /// @brief Asks every steerd at once, for reports about all of them.
  /// @param timeout for each of them.
  [[nodiscard]] std::vector<SteerdAnswer> GetFromAll(const std::string& path,
                                                     Duration timeout);

 private:
  [[nodiscard]] ClientRequest MakeRequest(const std::string& url,
                                          const std::string& method,
                                          const std::string& path) const;

  const Options options_;
  std::size_t preferred_ = 0;  ///< Index of the URL that answered last.
  HttpClient client_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_CLIENT_H_
