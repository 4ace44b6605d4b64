#ifndef MEDLARCROFT_IDEMPOTENCY_ANSWER_H_
#define MEDLARCROFT_IDEMPOTENCY_ANSWER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace medlarcroft::idempotency {

struct AnswerHeader {
  std::string name;
  std::string value;

  friend bool operator==(const AnswerHeader&, const AnswerHeader&) = default;
};

/// @brief A target's complete HTTP response, stored for replay.
struct Answer {
  int status = 0;
  std::vector<AnswerHeader> headers;
  std::string body;

  friend bool operator==(const Answer&, const Answer&) = default;
};

using SharedAnswer = std::shared_ptr<const Answer>;

/// @return the bytes that storing `answer` takes, without allocator overhead.
[[nodiscard]] std::size_t StoredBytes(const Answer& answer);

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_ANSWER_H_
