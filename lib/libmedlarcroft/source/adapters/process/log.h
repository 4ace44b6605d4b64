#ifndef MEDLARCROFT_ADAPTERS_PROCESS_LOG_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "adapters/process/common_settings.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

using LogValue =
    std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view>;

/// @brief One typed field of a log line. It refers to its text, which must
/// outlive it; a temporary in the call of `Log` does.
struct LogField {
  LogField(std::string_view field_name, bool field_value)
      : name(field_name), value(field_value) {}
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view field_name,
                                                 Number field_value)
      : name(field_name) {
    if constexpr (std::is_floating_point_v<Number>) {
      value = static_cast<double>(field_value);
    } else if constexpr (std::is_signed_v<Number>) {
      value = static_cast<std::int64_t>(field_value);
    } else {
      value = static_cast<std::uint64_t>(field_value);
    }
  }
  LogField(std::string_view field_name, std::string_view field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, const std::string& field_value)
      : name(field_name), value(std::string_view{field_value}) {}
  LogField(std::string_view field_name, const char* field_value)
      : name(field_name), value(std::string_view{field_value}) {}

  std::string_view name;
  LogValue value;
};

/// @brief Where lines go when no properties file says otherwise.
enum class LogOutput {
  kStandardError,
  /// Never waits: what a full pipe does not take is dropped and counted.
  kStandardOutput,
};

/// @brief Who logs, and how much.
struct LogOptions {
  std::string program;
  std::string host;
  std::string failure_domain;
  LogLevel level = LogLevel::kInfo;
  /// A log4cplus properties file; empty: one JSON object a line on stderr.
  std::string log4cplus_config;
  LogOutput output = LogOutput::kStandardError;
  /// Events of one name in a second; more are counted and said with the next.
  std::uint32_t events_per_second = 20;
};

/// @brief Sets logging up; before it events are dropped. Call it once.
void StartLogging(const LogOptions& options);

/// @brief Changes the level, for SIGHUP.
void SetLogLevel(LogLevel level);

/// @brief Logs one event. Any thread may call it.
/// @param event a constant name such as "catalogue-applied".
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

/// @brief What a line says beside its fields.
struct LogLine {
  WallTime time;
  LogLevel level = LogLevel::kInfo;
  std::string_view event;
  std::uint64_t suppressed_count = 0;
};

/// @brief Logs one line as it is, past the limit on events of one name: its
/// caller bounds such lines.
void LogUnthrottled(const LogLine& line,
                    std::initializer_list<LogField> fields);

/// @return the JSON object of one line, without a line end. Text that is no
/// UTF-8 is replaced, so that a hostile header can't break the line.
[[nodiscard]] std::string FormatLogLine(const LogOptions& options,
                                        const LogLine& line,
                                        std::span<const LogField> fields);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_LOG_H_
