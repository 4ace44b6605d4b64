#include "adapters/process/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <ctime>
#include <memory>
#include <utility>

#include "adapters/process/event_rate_limit.h"
#include "adapters/process/json_line.h"
#include "adapters/process/pipe_appender.h"
#include "adapters/process/system_clock.h"

namespace medlarcroft::adapters {

namespace {

constexpr int kStandardOutput = 1;
// Most lines are shorter.
constexpr std::size_t kUsualLineBytes = 512;

constexpr std::array<log4cplus::LogLevel, 4> kLibraryLevels = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  return kLibraryLevels.at(static_cast<std::size_t>(level));
}

/// @brief The process's logging, from `StartLogging` to its end.
struct Logging {
  explicit Logging(const LogOptions& log_options)
      : options(log_options), rate_limit(log_options.events_per_second) {}

  log4cplus::Initializer initializer;
  LogOptions options;
  log4cplus::Logger logger;
  EventRateLimit rate_limit;
  SystemClock clock;
};

std::unique_ptr<Logging>& Current() {
  static std::unique_ptr<Logging> logging;
  return logging;
}

/// The line is complete already, so that the layout only ends it.
void LogToStandardError(log4cplus::Logger& logger) {
  const log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  logger.addAppender(appender);
}

/// Lines come many a second: the date and time of day are made once in each.
std::string FormatTime(WallTime time) {
  thread_local std::time_t made_for = -1;
  thread_local std::string made;
  const std::int64_t milliseconds = ToMilliseconds(time.time_since_epoch());
  const auto seconds = static_cast<std::time_t>(milliseconds / 1000);
  if (seconds != made_for) {
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    made.assign(text.data(), length);
    made_for = seconds;
  }
  std::string fraction = std::to_string(1000 + milliseconds % 1000);
  fraction.front() = '.';
  return made + fraction + "Z";
}

}  // namespace

std::string FormatLogLine(const LogOptions& options,
                          const LogLine& line,
                          std::span<const LogField> fields) {
  JsonLine json(kUsualLineBytes);
  json.Add("time", FormatTime(line.time));
  json.Add("level", kLogLevelNames.at(static_cast<std::size_t>(line.level)));
  json.Add("program", options.program);
  json.Add("host", options.host);
  json.Add("failure_domain", options.failure_domain);
  json.Add("event", line.event);
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { json.Add(field.name, value); },
               field.value);
  }
  if (line.suppressed_count > 0) {
    json.Add("held_back", line.suppressed_count);
  }
  return std::move(json).Finish();
}

void StartLogging(const LogOptions& options) {
  auto logging = std::make_unique<Logging>(options);
  logging->logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("medlarcroft"));
  // The library keeps a logger's appenders: a second start would write twice.
  logging->logger.removeAllAppenders();
  if (options.log4cplus_config.empty() &&
      options.output == LogOutput::kStandardOutput) {
    logging->logger.addAppender(
        log4cplus::SharedAppenderPtr(new PipeAppender(kStandardOutput)));
  } else if (options.log4cplus_config.empty()) {
    LogToStandardError(logging->logger);
  } else {
    log4cplus::PropertyConfigurator::doConfigure(options.log4cplus_config);
  }
  logging->logger.setLogLevel(ToLibraryLevel(options.level));
  Current() = std::move(logging);
}

void SetLogLevel(LogLevel level) {
  if (Current()) {
    Current()->logger.setLogLevel(ToLibraryLevel(level));
  }
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  Logging* const logging = Current().get();
  if (logging == nullptr ||
      !logging->logger.isEnabledFor(ToLibraryLevel(level))) {
    return;
  }
  const auto suppressed_count =
      logging->rate_limit.Admit(event, logging->clock.Now());
  if (!suppressed_count) {
    return;
  }
  const LogLine line{.time = logging->clock.WallNow(),
                     .level = level,
                     .event = event,
                     .suppressed_count = *suppressed_count};
  logging->logger.log(ToLibraryLevel(level),
                      FormatLogLine(logging->options, line, fields));
}

void LogUnthrottled(const LogLine& line,
                    std::initializer_list<LogField> fields) {
  Logging* const logging = Current().get();
  if (logging == nullptr ||
      !logging->logger.isEnabledFor(ToLibraryLevel(line.level))) {
    return;
  }
  logging->logger.log(ToLibraryLevel(line.level),
                      FormatLogLine(logging->options, line, fields));
}

}  // namespace medlarcroft::adapters
