#ifndef MEDLARCROFT_ADAPTERS_FORWARD_RELAY_PROTOCOL_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_RELAY_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>

#include "adapters/event/event_http_client.h"
#include "adapters/http/http_message.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/target_identity.h"
#include "medlarcroft/request_path/target_notice.h"

/// @file
/// @brief How a host that is cut off from the targets has another host send a
/// request: a POST with the target's identity, whose body holds the bytes for
/// the target. The response is the target's own, marked with how the send
/// ended.

namespace medlarcroft::adapters {

inline constexpr std::string_view kRelayPath = "/v1/relay";

/// @brief One send that another host makes.
struct RelayRequest {
  std::string id;  ///< Of the caller's request.
  request_path::TargetIdentity target;
  Duration time_left{0};
  /// Whether the target may run the request more than once.
  bool may_repeat = false;
  bool is_head_request = false;
  std::string text;  ///< Serialized request for the target.
  /// The rest of it, which follows `text`; unset: none.
  std::shared_ptr<HeldBytes> body;
  /// What a received `text` takes of the memory account.
  std::shared_ptr<MemoryLease> lease;
};

/// @brief How a relayed send ended.
enum class RelayEnd {
  kAnswered,    ///< The response is the target's.
  kRefused,     ///< Not sent: the helper takes no relays, since it stops.
  kBusy,        ///< Not sent: the helper has too much to do at the moment.
  kCutOff,      ///< Not sent: the helper reaches no target itself.
  kNotSent,     ///< Not sent: the helper can't reach the target.
  kNotAllowed,  ///< Not sent: the helper must send nothing to the target.
  kLost,        ///< Sent, but the response is lost; it may have run.
  kTimedOut,    ///< Sent, but not answered in time; it may have run.
};

[[nodiscard]] std::string_view NameOf(RelayEnd end);

/// @param host address of the helper, for the Host header.
/// @return the serialized request for the helper.
[[nodiscard]] std::string EncodeRelayRequest(const RelayRequest& request,
                                             std::string_view host);
/// @return nullopt when a field is missing or invalid.
[[nodiscard]] std::optional<RelayRequest> DecodeRelayRequest(HttpRequest call);

/// @param notice what the target's response said before it broke off.
[[nodiscard]] HttpResponse EncodeRelayFailure(
    RelayEnd end,
    const request_path::TargetNotice& notice = {});
/// @param connection to the target, on which the answer came.
[[nodiscard]] HttpResponse EncodeRelayedAnswer(
    HttpResponse answer,
    const request_path::TargetNotice& notice = {},
    const ConnectionUse& connection = {});
/// @brief Reads what the helper's connection to the target had carried.
[[nodiscard]] ConnectionUse DecodeConnectionUse(const HttpResponse& response);
/// @brief Reads what the target says about itself.
/// @param head status and headers of the helper's response.
[[nodiscard]] request_path::TargetNotice DecodeRelayedNotice(
    const HttpResponse& head);
/// @brief Reads how the send ended, and restores the target's response.
/// @return nullopt when the response comes from no helper.
[[nodiscard]] std::optional<RelayEnd> DecodeRelayResponse(
    HttpResponse& response);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_RELAY_PROTOCOL_H_
