#ifndef MEDLARCROFT_RESPONSE_RESPONSE_HEAD_H_
#define MEDLARCROFT_RESPONSE_RESPONSE_HEAD_H_

#include <optional>
#include <string_view>

#include "medlarcroft/core/result.h"

/// @file
/// @brief The one rule for what a response of HTTP/1 is (RFC 9110, RFC 9112),
/// which everything that reads responses asks, whatever its library lets
/// through.

namespace medlarcroft::response {

/// @brief Why what a server sent is no response.
enum class HeadFault {
  kStatusLine,      ///< Not `HTTP/1.x`, a status of three digits and a reason.
  kStatus,          ///< Not in 100..599.
  kFieldLine,       ///< No colon, or the line continues the one before.
  kFieldName,       ///< Not a token.
  kFieldValue,      ///< A control character.
  kContentLength,   ///< Not one decimal number.
  kTransferCoding,  ///< Not `chunked` alone; nobody asked for others.
  kTwoFramings,     ///< A length and a transfer coding.
};

[[nodiscard]] std::string_view NameOf(HeadFault fault);

/// @brief How a head announces the end of its body.
enum class BodyFraming { kUntilClose, kLength, kChunked };

/// @brief One field of a head, without the white space around its value.
struct ResponseField {
  std::string_view name;
  std::string_view value;
};

/// @return the status of a status line, which has no line end.
[[nodiscard]] Result<int, HeadFault> ReadStatusLine(std::string_view line);

/// @return the field of a line of a head, which has no line end.
[[nodiscard]] Result<ResponseField, HeadFault> ReadFieldLine(
    std::string_view line);

/// @brief Judges the head of one response, interim or final, as it is read. No
/// I/O.
///
/// Guards against answers that are none and reach callers: each library lets
/// through something else, and what one passes on as a field, or as a body, the
/// next reader takes for something else.
class ResponseHead {
 public:
  explicit ResponseHead(int status);

  void OnField(const ResponseField& field);

  /// @return what is wrong with what was read so far, the first fault only.
  [[nodiscard]] std::optional<HeadFault> Fault() const { return fault_; }
  [[nodiscard]] int Status() const { return status_; }
  [[nodiscard]] bool IsInterim() const { return status_ / 100 == 1; }
  [[nodiscard]] BodyFraming Framing() const { return framing_; }

 private:
  void OnFraming(BodyFraming framing, HeadFault repeated);
  void Refuse(HeadFault fault);

  int status_;
  BodyFraming framing_ = BodyFraming::kUntilClose;
  std::optional<HeadFault> fault_;
};

}  // namespace medlarcroft::response

#endif  // MEDLARCROFT_RESPONSE_RESPONSE_HEAD_H_
