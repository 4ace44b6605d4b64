#include "medlarcroft/idempotency/answer.h"

namespace medlarcroft::idempotency {

std::size_t StoredBytes(const Answer& answer) {
  std::size_t bytes = sizeof(Answer) + answer.body.size();
  for (const AnswerHeader& header : answer.headers) {
    bytes += sizeof(AnswerHeader) + header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace medlarcroft::idempotency
