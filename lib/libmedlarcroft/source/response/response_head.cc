#include "medlarcroft/response/response_head.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdint>

namespace medlarcroft::response {

namespace {

constexpr int kFirstStatus = 100;
// RFC 9110, section 15: other values are invalid. A client may take them for a
// failure of the server, which is what becomes of them here.
constexpr int kLastStatus = 599;
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;
constexpr std::string_view kWhiteSpace = " \t";

constexpr std::array<std::string_view, 8> kFaultNames = {
    "status-line", "status",         "field-line",      "field-name",
    "field-value", "content-length", "transfer-coding", "two-framings"};

bool IsDigit(char symbol) {
  return symbol >= '0' && symbol <= '9';
}

bool IsTokenCharacter(char symbol) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return IsDigit(symbol) || (symbol >= 'a' && symbol <= 'z') ||
         (symbol >= 'A' && symbol <= 'Z') ||
         kPunctuation.find(symbol) != std::string_view::npos;
}

/// @return whether a value or a reason may have the character: no control
/// character but a tab.
bool IsTextCharacter(char symbol) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(symbol);
  return symbol == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

bool IsText(std::string_view text) {
  return std::ranges::all_of(text, &IsTextCharacter);
}

bool IsSameIgnoringCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
    return std::tolower(a) == std::tolower(b);
  });
}

std::string_view TrimWhiteSpace(std::string_view text) {
  const auto first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhiteSpace) - first + 1);
}

bool IsLength(std::string_view text) {
  std::uint64_t length = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, length);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

std::string_view NameOf(HeadFault fault) {
  return kFaultNames.at(static_cast<std::size_t>(fault));
}

Result<int, HeadFault> ReadStatusLine(std::string_view line) {
  // "HTTP/1.1 200 OK"; the blank before an empty reason may be missing.
  constexpr std::size_t kStatusBegin = kVersionPrefix.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusBegin + kStatusDigits;
  if (line.size() < kStatusEnd || !line.starts_with(kVersionPrefix) ||
      !IsDigit(line[kVersionPrefix.size()]) || line[kStatusBegin - 1] != ' ') {
    return HeadFault::kStatusLine;
  }
  const std::string_view digits = line.substr(kStatusBegin, kStatusDigits);
  const std::string_view reason = line.substr(kStatusEnd);
  const bool is_reason_apart = reason.empty() || reason.front() == ' ';
  if (!std::ranges::all_of(digits, &IsDigit) || !is_reason_apart ||
      !IsText(reason)) {
    return HeadFault::kStatusLine;
  }
  int status = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), status);
  return status;
}

Result<ResponseField, HeadFault> ReadFieldLine(std::string_view line) {
  const auto colon = line.find(':');
  // A line that begins with white space belongs to the field before. Readers
  // that join the two and readers that don't see different fields.
  if (colon == std::string_view::npos ||
      kWhiteSpace.find(line.front()) != std::string_view::npos) {
    return HeadFault::kFieldLine;
  }
  return ResponseField{.name = line.substr(0, colon),
                       .value = TrimWhiteSpace(line.substr(colon + 1))};
}

ResponseHead::ResponseHead(int status) : status_(status) {
  if (status < kFirstStatus || status > kLastStatus) {
    Refuse(HeadFault::kStatus);
  }
}

void ResponseHead::OnField(const ResponseField& field) {
  if (field.name.empty() ||
      !std::ranges::all_of(field.name, &IsTokenCharacter)) {
    Refuse(HeadFault::kFieldName);
    return;
  }
  if (!IsText(field.value)) {
    Refuse(HeadFault::kFieldValue);
    return;
  }
  if (IsSameIgnoringCase(field.name, "Content-Length")) {
    if (!IsLength(field.value)) {
      Refuse(HeadFault::kContentLength);
    }
    OnFraming(BodyFraming::kLength, HeadFault::kContentLength);
  } else if (IsSameIgnoringCase(field.name, "Transfer-Encoding")) {
    if (!IsSameIgnoringCase(field.value, "chunked")) {
      Refuse(HeadFault::kTransferCoding);
    }
    OnFraming(BodyFraming::kChunked, HeadFault::kTransferCoding);
  }
}

void ResponseHead::OnFraming(BodyFraming framing, HeadFault repeated) {
  if (framing_ != BodyFraming::kUntilClose) {
    Refuse(framing_ == framing ? repeated : HeadFault::kTwoFramings);
  }
  framing_ = framing;
}

void ResponseHead::Refuse(HeadFault fault) {
  if (!fault_) {
    fault_ = fault;
  }
}

}  // namespace medlarcroft::response
