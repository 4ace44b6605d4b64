#ifndef MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_CODEC_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_CODEC_H_

#include <optional>
#include <string>

#include "adapters/event/event_http_client.h"
#include "adapters/http/http_message.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::adapters {

/// @brief A caller's request, decoded from one protocol.
struct DecodedRequest {
  std::string id;  ///< Request identifier assigned by the caller.
  request_path::CallerRequest request;
};

/// @brief Why a target's complete response is taken for the one to a request.
struct ResponseProof {
  int status = 0;
  bool has_id = false;  ///< Whether it names the request.
  ConnectionUse connection;
};

/// @brief A target's complete response, classified.
struct ClassifiedResponse {
  request_path::AttemptEnd end = request_path::AttemptEnd::kLost;
  bool has_id = false;  ///< Whether it names a request.
  std::optional<request_path::LoadReport> load;
  /// Requests per second that the target accepts from all hosts together;
  /// nullopt: no limit.
  std::optional<double> rate_limit;
};

/// @brief Translates between the messages of one protocol and the types of the
/// request path. It contains names and formats, but makes no decisions.
class RequestCodec {
 public:
  virtual ~RequestCodec() = default;

  [[nodiscard]] virtual DecodedRequest Decode(
      const HttpRequest& call) const = 0;
  /// @return the serialized request for a target, header and body.
  [[nodiscard]] virtual std::string EncodeAttempt(
      const HttpRequest& call,
      const request_path::SendAttempt& attempt) const = 0;
  /// @param id of the request that waits.
  /// @return which request a response names.
  [[nodiscard]] virtual request_path::ResponseName IdentifyResponse(
      const HttpResponse& answer,
      const std::string& id) const = 0;
  /// @param answer to a request that was sent to `target`.
  [[nodiscard]] virtual ClassifiedResponse ClassifyResponse(
      const HttpResponse& answer,
      const request_path::TargetIdentity& target) const = 0;
  /// @param head status and headers of a target's response.
  [[nodiscard]] virtual request_path::TargetNotice ReadNotice(
      const HttpResponse& head) const = 0;
  /// @return a target's response in the form in which it is forwarded to the
  /// caller.
  [[nodiscard]] virtual HttpResponse ForwardResponse(
      HttpResponse answer) const = 0;
  /// @return a response that this host generates itself.
  [[nodiscard]] virtual HttpResponse EncodeLocalResponse(
      const request_path::RequestFailure& failure,
      const std::string& id) const = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_CODEC_H_
