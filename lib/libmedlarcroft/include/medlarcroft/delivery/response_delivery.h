#ifndef MEDLARCROFT_DELIVERY_RESPONSE_DELIVERY_H_
#define MEDLARCROFT_DELIVERY_RESPONSE_DELIVERY_H_

#include <cstddef>
#include <optional>
#include <string>

#include "medlarcroft/core/time.h"

namespace medlarcroft::delivery {

/// @brief What one connection owes its client: the response to the request in
/// hand, and the bytes of responses that the client has not acknowledged. No
/// I/O.
///
/// A response is delivered when the client's side has acknowledged its last
/// byte. Until then it may be lost: bytes that this process holds at its exit,
/// bytes that the kernel holds when a connection is closed with unread input.
class ResponseDelivery {
 public:
  /// @brief A whole request was read.
  void OnRequest(MonotonicTime now);
  /// @brief Names the request in hand.
  /// @param wanted_until when its caller stops waiting.
  void Identify(std::string request, MonotonicTime wanted_until);
  /// @brief Its response was written.
  /// @param undelivered bytes of this response and of those before it that may
  /// not be acknowledged.
  void OnResponse(std::size_t undelivered, MonotonicTime now);
  /// @brief The client has acknowledged some bytes.
  void OnProgress(MonotonicTime now) { progressed_at_ = now; }
  /// @brief Compares the unacknowledged bytes with those known before; fewer
  /// are progress.
  void OnMeasured(std::size_t undelivered, MonotonicTime now);

  [[nodiscard]] bool HasRequest() const { return has_request_; }
  [[nodiscard]] bool IsIdentified() const { return wanted_until_.has_value(); }
  [[nodiscard]] std::size_t Undelivered() const { return undelivered_; }
  [[nodiscard]] const std::string& Request() const { return request_; }
  /// @return the time since the request was read, or its response written.
  [[nodiscard]] Duration Age(MonotonicTime now) const { return now - since_; }
  [[nodiscard]] Duration WithoutProgress(MonotonicTime now) const {
    return now - progressed_at_;
  }
  /// @return whether the request in hand has no response although its caller's
  /// time is over.
  [[nodiscard]] bool IsOverdue(MonotonicTime now) const;

  /// @brief Whether a planned stop waits for this connection.
  ///
  /// Slow clients lose nothing by a stop: it waits while a client reads, and
  /// until its deadline also while it does not. A client that neither reads nor
  /// has time left would only delay the stop. Requests that nobody identified
  /// can be repeated elsewhere and are not waited for.
  [[nodiscard]] bool DelaysStop(MonotonicTime now) const;

 private:
  bool has_request_ = false;
  std::string request_;
  std::optional<MonotonicTime> wanted_until_;
  std::size_t undelivered_ = 0;
  MonotonicTime since_;
  MonotonicTime progressed_at_;
};

}  // namespace medlarcroft::delivery

#endif  // MEDLARCROFT_DELIVERY_RESPONSE_DELIVERY_H_
