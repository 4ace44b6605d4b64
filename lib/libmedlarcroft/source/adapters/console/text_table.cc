#include "adapters/console/text_table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ostream>
#include <utility>

namespace medlarcroft::adapters {

namespace {

constexpr std::size_t kColumnGap = 2;

std::string FormatWithUnit(double number, const char* unit) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3g %s", number, unit);
  return text.data();
}

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> row) {
  row.resize(rows_.front().size());
  rows_.push_back(std::move(row));
}

void TextTable::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }

  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

std::string JoinWithCommas(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) {
    joined += (joined.empty() ? "" : ", ") + word;
  }
  return joined.empty() ? "-" : joined;
}

std::string FormatMilliseconds(double milliseconds) {
  constexpr double kSecond = 1000;
  constexpr double kMinute = 60 * kSecond;
  constexpr double kHour = 60 * kMinute;
  constexpr double kDay = 24 * kHour;
  if (milliseconds >= kDay) {
    return FormatWithUnit(milliseconds / kDay, "d");
  }
  if (milliseconds >= kHour) {
    return FormatWithUnit(milliseconds / kHour, "h");
  }
  if (milliseconds >= kMinute) {
    return FormatWithUnit(milliseconds / kMinute, "min");
  }
  return milliseconds >= kSecond ? FormatWithUnit(milliseconds / kSecond, "s")
                                 : FormatWithUnit(milliseconds, "ms");
}

}  // namespace medlarcroft::adapters
