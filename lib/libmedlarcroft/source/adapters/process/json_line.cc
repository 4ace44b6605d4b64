#include "adapters/process/json_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace medlarcroft::adapters {

namespace {

// Fits the longest number, a double in scientific notation.
constexpr std::size_t kMaxNumberBytes = 32;

bool NeedsNoEscaping(char raw) {
  const auto c = static_cast<unsigned char>(raw);
  return c >= 0x20 && c < 0x7f && raw != '"' && raw != '\\';
}

}  // namespace

void JsonLine::Add(std::string_view name, bool value) {
  AddName(name);
  text_.append(value ? "true" : "false");
}

void JsonLine::Add(std::string_view name, std::int64_t value) {
  AddName(name);
  AppendNumber(value);
}

void JsonLine::Add(std::string_view name, std::uint64_t value) {
  AddName(name);
  AppendNumber(value);
}

void JsonLine::Add(std::string_view name, double value) {
  AddName(name);
  if (std::isfinite(value)) {
    AppendNumber(value);
  } else {
    text_.append("null");
  }
}

void JsonLine::Add(std::string_view name, std::string_view value) {
  AddName(name);
  AppendText(value);
}

std::string JsonLine::Finish() && {
  text_.append(text_.empty() ? "{}" : "}");
  return std::move(text_);
}

void JsonLine::AddName(std::string_view name) {
  text_.push_back(text_.empty() ? '{' : ',');
  AppendText(name);
  text_.push_back(':');
}

void JsonLine::AppendText(std::string_view text) {
  if (!std::ranges::all_of(text, NeedsNoEscaping)) {
    text_.append(nlohmann::json(text).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace));
    return;
  }
  text_.push_back('"');
  text_.append(text);
  text_.push_back('"');
}

template <typename Number>
void JsonLine::AppendNumber(Number value) {
  std::array<char, kMaxNumberBytes> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  text_.append(digits.data(), end);
}

}  // namespace medlarcroft::adapters
