#ifndef MEDLARCROFT_ADAPTERS_PROCESS_JSON_LINE_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_JSON_LINE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarcroft::adapters {

/// @brief Builds a flat JSON object as a single string.
///
/// Two lines are logged per request. Building a `nlohmann::json` document for
/// each line takes several times as long, mostly for allocations, so the text
/// is appended directly. Only strings that need escaping go through the
/// library.
class JsonLine {
 public:
  /// @param bytes expected length, reserved so that the string grows only once.
  explicit JsonLine(std::size_t bytes) { text_.reserve(bytes); }

  void Add(std::string_view name, bool value);
  void Add(std::string_view name, std::int64_t value);
  void Add(std::string_view name, std::uint64_t value);
  /// NaN and infinity are written as null, since JSON can't represent them.
  void Add(std::string_view name, double value);
  /// Invalid UTF-8 is replaced by U+FFFD.
  void Add(std::string_view name, std::string_view value);

  /// @return the complete object.
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
