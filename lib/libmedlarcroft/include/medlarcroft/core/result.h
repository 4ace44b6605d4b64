#ifndef MEDLARCROFT_CORE_RESULT_H_
#define MEDLARCROFT_CORE_RESULT_H_

#include <utility>
#include <variant>

namespace medlarcroft {

/// @brief A value or a typed error.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

/// @brief The value type of an operation that returns no value.
using Success = std::monostate;

/// @return true if `result` holds a value.
template <typename Value, typename Error>
[[nodiscard]] constexpr bool IsOk(const std::variant<Value, Error>& result) {
  return result.index() == 0;
}

/// @return the value; `result` must hold one.
template <typename Value, typename Error>
[[nodiscard]] const Value& ValueOf(const std::variant<Value, Error>& result) {
  return std::get<0>(result);
}

/// @return the value, moved out of `result`, which must hold one.
template <typename Value, typename Error>
[[nodiscard]] Value TakeValue(std::variant<Value, Error>&& result) {
  return std::get<0>(std::move(result));
}

/// @return the error; `result` must hold one.
template <typename Value, typename Error>
[[nodiscard]] const Error& ErrorOf(const std::variant<Value, Error>& result) {
  return std::get<1>(result);
}

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_RESULT_H_
