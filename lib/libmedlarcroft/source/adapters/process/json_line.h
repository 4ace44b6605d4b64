#ifndef MEDLARCROFT_ADAPTERS_PROCESS_JSON_LINE_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_JSON_LINE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarcroft::adapters {

/// @brief Writes one flat JSON object into one string.
///
/// Load: two lines for each request. A document of the JSON library for each
/// line takes several times as long, most of it for allocations. Text that
/// needs escapes still goes through the library.
class JsonLine {
 public:
  /// @param bytes expected, so that the text grows once.
  explicit JsonLine(std::size_t bytes) { text_.reserve(bytes); }

  void Add(std::string_view name, bool value);
  void Add(std::string_view name, std::int64_t value);
  void Add(std::string_view name, std::uint64_t value);
  /// Not a number, or infinite: null, as JSON has neither.
  void Add(std::string_view name, double value);
  /// Text that is no UTF-8 is replaced.
  void Add(std::string_view name, std::string_view value);

  /// @return the whole object.
  [[nodiscard]] std::string Finish() &&;

 private:
  void AddName(std::string_view name);
  void AppendText(std::string_view text);
  template <typename Number>
  void AppendNumber(Number value);

  std::string text_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_JSON_LINE_H_
