#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_TEXT_TABLE_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_TEXT_TABLE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace medlarcroft::adapters {

/// @brief Formats rows as text with aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// @param row cells; missing ones are left empty.
  void Add(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// @return the words joined by ", ", or "-" if there are none.
[[nodiscard]] std::string JoinWithCommas(const std::vector<std::string>& words);

/// @return a duration with a suitable unit and three digits, e.g. "1.5 s".
[[nodiscard]] std::string FormatMilliseconds(double milliseconds);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_TEXT_TABLE_H_
