#ifndef MEDLARCROFT_ADAPTERS_HTTP_RESPONSE_HEAD_READER_H_
#define MEDLARCROFT_ADAPTERS_HTTP_RESPONSE_HEAD_READER_H_

#include <optional>
#include <string_view>
#include <utility>

#include "adapters/http/http_message.h"
#include "medlarcroft/response/response_head.h"

namespace medlarcroft::adapters {

/// @brief Reads the heads of one exchange from their lines, for a library that
/// hands them on raw. Interim heads are discarded, and so are trailers.
class ResponseHeadReader {
 public:
  /// @param line of a head or of trailers, with its line end.
  /// @return why it is no part of a response; nothing may follow then.
  [[nodiscard]] std::optional<response::HeadFault> OnLine(
      std::string_view line);

  /// @return whether the head of the final response was read whole.
  [[nodiscard]] bool HasFinalHead() const {
    return is_complete_ && !head_->IsInterim();
  }
  /// Of the final head, which must be there.
  [[nodiscard]] int Status() const { return head_->Status(); }
  [[nodiscard]] response::BodyFraming Framing() const {
    return head_->Framing();
  }
  [[nodiscard]] HttpHeaders TakeFields() {
    return std::exchange(fields_, HttpHeaders());
  }

 private:
  [[nodiscard]] std::optional<response::HeadFault> OnStatusLine(
      std::string_view line);
  [[nodiscard]] std::optional<response::HeadFault> OnFieldLine(
      std::string_view line);

  /// The head that is read, or was read last; nullopt: none has begun.
  std::optional<response::ResponseHead> head_;
  HttpHeaders fields_;
  bool is_complete_ = false;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_RESPONSE_HEAD_READER_H_
