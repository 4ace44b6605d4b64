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

/// @brief A typed field of a log line. It refers to its text without owning it;
/// a temporary in the argument list of `Log` lives long enough.
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

/// @brief Destination of log lines when no log4cplus properties file is set.
enum class LogOutput {
  kStandardError,
  /// Never blocks: lines that do not fit into a full pipe are dropped and
  /// counted.
  kStandardOutput,
};

/// @brief Identity of the logging process, and the destination, level and rate
/// limit of its log.
struct LogOptions {
  std::string program;
  std::string host;
  std::string failure_domain;
  LogLevel level = LogLevel::kInfo;
  /// A log4cplus properties file; empty: JSON lines to `output`.
  std::string log4cplus_config;
  LogOutput output = LogOutput::kStandardError;
  /// Maximum number of events of one name per second. The number of suppressed
  /// events is logged with the next one of that name.
  std::uint32_t events_per_second = 20;
};

/// @brief Initializes logging. Events logged earlier are dropped. A later call
/// replaces the configuration, also while other threads log.
void StartLogging(const LogOptions& options);

/// @brief Changes the log level, for example on SIGHUP.
void SetLogLevel(LogLevel level);

/// @brief Logs one event, subject to the rate limit. Thread-safe.
/// @param event a constant name such as "catalogue-applied".
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

/// @brief The standard fields of a log line.
struct LogLine {
  WallTime time;
  LogLevel level = LogLevel::kInfo;
  std::string_view event;
  /// Similar events suppressed since the last line; 0 is not written.
  std::uint64_t suppressed_count = 0;
};

/// @brief Logs one line without the rate limit per event name. The caller must
/// limit how many such lines it logs.
void LogUnthrottled(const LogLine& line,
                    std::initializer_list<LogField> fields);

/// @return the JSON object of one line, without a trailing newline. Control
/// characters are escaped and invalid UTF-8 is replaced, so that a malicious
/// header can't break the line.
[[nodiscard]] std::string FormatLogLine(const LogOptions& options,
                                        const LogLine& line,
                                        std::span<const LogField> fields);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_LOG_H_
