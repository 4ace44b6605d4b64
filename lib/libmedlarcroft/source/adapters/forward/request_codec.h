#ifndef MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_CODEC_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_CODEC_H_

#include <optional>
#include <string>

#include "adapters/http/http_message.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::adapters {

/// @brief A caller's request as one protocol tells it.
struct DecodedRequest {
  std::string id;  ///< The caller's own name for this request.
  request_path::CallerRequest request;
};

/// @brief What a target's whole answer says of its request.
struct ClassifiedResponse {
  request_path::AttemptEnd end = request_path::AttemptEnd::kLost;
  std::optional<request_path::LoadReport> load;
  /// Requests per second that the target accepts from all hosts together;
  /// nullopt: no limit.
  std::optional<double> rate_limit;
};

/// @brief Between one protocol's messages and the types that decide. It holds
/// names and formats, and decides nothing.
class RequestCodec {
 public:
  virtual ~RequestCodec() = default;

  [[nodiscard]] virtual DecodedRequest Decode(
      const HttpRequest& call) const = 0;
  /// @return the request as sent to a target, head and body.
  [[nodiscard]] virtual std::string EncodeAttempt(
      const HttpRequest& call,
      const request_path::SendAttempt& attempt) const = 0;
  /// @return whether an answer belongs to the request of that id.
  [[nodiscard]] virtual bool IsOwnAnswer(const HttpResponse& answer,
                                         const std::string& id) const = 0;
  [[nodiscard]] virtual ClassifiedResponse Judge(
      const HttpResponse& answer) const = 0;
  /// @return a target's answer as passed on to the caller.
  [[nodiscard]] virtual HttpResponse PassOn(HttpResponse answer) const = 0;
  /// @return this host's own answer.
  [[nodiscard]] virtual HttpResponse EncodeEnding(
      const request_path::RequestFailure& ending,
      const std::string& id) const = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_CODEC_H_
