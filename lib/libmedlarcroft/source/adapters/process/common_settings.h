#ifndef MEDLARCROFT_ADAPTERS_PROCESS_COMMON_SETTINGS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_COMMON_SETTINGS_H_

#include <array>
#include <string>
#include <string_view>

#include "adapters/process/settings_schema.h"
#include "adapters/process/text_rules.h"

/// @file
/// @brief Settings that the daemons share.

namespace medlarcroft::adapters {

/// @brief Minimum severity of the events that are logged.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

constexpr std::array<std::string_view, 4> kLogLevelNames = {"debug", "info",
                                                            "warning", "error"};

/// @brief PEM files of a listener's TLS certificate and key. When both are
/// empty, the listener does not use TLS.
struct TlsSettings {
  std::string certificate;
  std::string key;
};

/// @brief Timing of a graceful shutdown.
struct DrainSettings {
  /// Delay between announcing the shutdown and closing the listeners. Longer
  /// than the longest lookup TTL, so that callers have dropped cached answers
  /// that name this host.
  Duration pause = std::chrono::seconds(12);
  /// Maximum duration of the whole shutdown. Requests still in flight then are
  /// aborted and counted.
  Duration limit = std::chrono::seconds(60);
};

/// @brief Destinations and levels of logs and traces.
struct TelemetrySettings {
  LogLevel log_level = LogLevel::kInfo;
  std::string log_config;       ///< log4cplus properties file; empty: stderr.
  std::string trace_file;       ///< OTLP JSON lines; empty: no tracing.
  double trace_sampling = 0.0;  ///< Fraction of the traces that start here.
};

inline SettingsSchema<TlsSettings> MakeTlsSchema() {
  SettingsSchema<TlsSettings> schema;
  schema
      .Text("certificate", &TlsSettings::certificate, kFilePath,
            {.description = "PEM file of the certificate chain",
             .is_required = true})
      .Text(
          "key", &TlsSettings::key, kFilePath,
          {.description = "PEM file of the private key", .is_required = true});
  return schema;
}

inline SettingsSchema<DrainSettings> MakeDrainSchema() {
  SettingsSchema<DrainSettings> schema;
  schema
      .Milliseconds(
          "pause_ms", &DrainSettings::pause, {0, 600'000},
          {.description =
               "delay before the listeners close, so that callers drop cached "
               "lookups; must exceed the longest lookup TTL",
           .is_reloadable = true})
      .Milliseconds(
          "limit_ms", &DrainSettings::limit, {100, 86'400'000},
          {.description =
               "maximum duration of a shutdown; requests still in flight then "
               "are aborted and counted",
           .is_reloadable = true});
  return schema;
}

inline SettingsSchema<TelemetrySettings> MakeTelemetrySchema() {
  SettingsSchema<TelemetrySettings> schema;
  schema
      .Choice("log_level", &TelemetrySettings::log_level,
              std::span<const std::string_view>(kLogLevelNames),
              {.description = "minimum level of logged events",
               .is_reloadable = true})
      .Text(
          "log_config", &TelemetrySettings::log_config, kFilePath,
          {.description = "log4cplus properties file; none: logs go to stderr"})
      .Text("trace_file", &TelemetrySettings::trace_file, kFilePath,
            {.description = "file that spans are appended to as OTLP JSON "
                            "lines, or `stderr`; none: tracing is off"})
      .Real("trace_sampling", &TelemetrySettings::trace_sampling, {0.0, 1.0},
            {.description =
                 "fraction of the traces started here that is "
                 "sampled; a caller's sampling decision takes precedence",
             .is_reloadable = true});
  return schema;
}

/// @brief Declares the settings that identify and locate the host.
template <typename Settings>
void AddHostFields(SettingsSchema<Settings>& schema) {
  schema
      .Text("host", &Settings::host, kSettingName,
            {.description = "unique name of this host", .is_required = true})
      .Text(
          "failure_domain", &Settings::failure_domain, kSettingName,
          {.description = "failure domain of this host", .is_required = true});
}

/// @brief Declares the telemetry and shutdown settings of both daemons.
template <typename Settings>
void AddOperationFields(SettingsSchema<Settings>& schema) {
  schema
      .Group("telemetry", &Settings::telemetry, MakeTelemetrySchema(),
             {.description = "logs and traces", .is_reloadable = true})
      .Group("drain", &Settings::drain, MakeDrainSchema(),
             {.description = "timing of a graceful shutdown",
              .is_reloadable = true});
}

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_COMMON_SETTINGS_H_
