#include "adapters/http/response_head_reader.h"

namespace medlarcroft::adapters {

namespace {

using response::HeadFault;

std::string_view WithoutLineEnd(std::string_view line) {
  for (const char end : {'\n', '\r'}) {
    if (line.ends_with(end)) {
      line.remove_suffix(1);
    }
  }
  return line;
}

}  // namespace

std::optional<HeadFault> ResponseHeadReader::OnLine(std::string_view line) {
  line = WithoutLineEnd(line);
  if (!head_ || is_complete_) {
    return HasFinalHead() ? std::nullopt : OnStatusLine(line);
  }
  if (line.empty()) {
    is_complete_ = true;
    return std::nullopt;
  }
  return OnFieldLine(line);
}

std::optional<HeadFault> ResponseHeadReader::OnStatusLine(
    std::string_view line) {
  is_complete_ = false;
  fields_ = {};
  const auto status = response::ReadStatusLine(line);
  if (!IsOk(status)) {
    return ErrorOf(status);
  }
  head_.emplace(ValueOf(status));
  return head_->Fault();
}

std::optional<HeadFault> ResponseHeadReader::OnFieldLine(
    std::string_view line) {
  const auto field = response::ReadFieldLine(line);
  if (!IsOk(field)) {
    return ErrorOf(field);
  }
  head_->OnField(ValueOf(field));
  fields_.Add(ValueOf(field).name, ValueOf(field).value);
  return head_->Fault();
}

}  // namespace medlarcroft::adapters
