#ifndef MEDLARCROFT_LOAD_GENERATOR_LOAD_TRANSPORT_H_
#define MEDLARCROFT_LOAD_GENERATOR_LOAD_TRANSPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/time.h"

namespace medlarcroft::load_generator {

/// @brief One header field.
struct HeaderField {
  std::string name;
  std::string value;
};

/// @brief A request that the load generator sends.
struct OutgoingRequest {
  std::uint64_t id = 0;  ///< Passed back with the result.
  std::string method = "GET";
  std::string url;
  std::vector<HeaderField> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);
  /// Use a connection that has never carried a request, so that no request is
  /// sent twice.
  bool needs_fresh_connection = false;
};

/// @brief Why there is no complete response.
enum class ExchangeFailure {
  kNeverSent,  ///< Known: no byte was sent.
  kTimedOut,
  kTruncated,  ///< The response ended before its declared length.
  kBroken,
};

/// @brief Result of one request.
struct ExchangeResult {
  std::optional<ExchangeFailure> failure;  ///< Unset: the response is complete.
  int status = 0;
  std::vector<HeaderField> headers;  ///< Names in lower case.
  std::string body;

  /// @param name in lower case.
  [[nodiscard]] std::optional<std::string_view> Find(
      std::string_view name) const {
    for (const HeaderField& field : headers) {
      if (field.name == name) {
        return field.value;
      }
    }
    return std::nullopt;
  }
};

/// @brief Sends requests. Results are passed to `LoadSession::OnResult` on the
/// session's thread.
class LoadTransport {
 public:
  virtual ~LoadTransport() = default;
  virtual void Send(OutgoingRequest request) = 0;
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_LOAD_TRANSPORT_H_
