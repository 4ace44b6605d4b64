#include "adapters/process/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <array>
#include <atomic>
#include <ctime>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "adapters/process/event_rate_limit.h"
#include "adapters/process/json_line.h"
#include "adapters/process/pipe_appender.h"
#include "adapters/process/system_clock.h"

namespace medlarcroft::adapters {

namespace {

constexpr int kStandardOutputDescriptor = 1;
// Reserved for each line; most lines are shorter.
constexpr std::size_t kReservedLineBytes = 512;

constexpr std::array<log4cplus::LogLevel, 4> kLog4cplusLevels = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

log4cplus::LogLevel ToLog4cplusLevel(LogLevel level) {
  return kLog4cplusLevels.at(static_cast<std::size_t>(level));
}

/// @brief The logging state of the process, created by `StartLogging`.
struct Logging {
  explicit Logging(const LogOptions& log_options)
      : options(log_options), rate_limit(log_options.events_per_second) {}

  log4cplus::Initializer initializer;
  LogOptions options;
  log4cplus::Logger logger;
  EventRateLimit rate_limit;
  SystemClock clock;
};

/// @brief The logging states of the process.
///
/// Guards against a restart of logging that frees the state with which another
/// thread is logging: its line was damaged, or the process crashed. Replaced
/// states are kept until the process ends; a process starts logging a few times
/// at most.
class LoggingHistory {
 public:
  [[nodiscard]] Logging* Current() const { return current_; }

  void Replace(std::unique_ptr<Logging> logging) {
    const std::lock_guard lock(mutex_);
    current_ = logging.get();
    states_.push_back(std::move(logging));
  }

 private:
  std::mutex mutex_;
  std::vector<std::unique_ptr<Logging>> states_;
  std::atomic<Logging*> current_{nullptr};
};

LoggingHistory& History() {
  static LoggingHistory history;
  return history;
}

/// The message is already a complete line, so the layout only adds the newline.
void LogToStandardError(log4cplus::Logger& logger) {
  const log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  logger.addAppender(appender);
}

/// Formats a UTC timestamp with milliseconds. Date and time of day are cached
/// per thread for one second, because many lines are logged per second.
std::string FormatTime(WallTime time) {
  thread_local std::time_t cached_second = -1;
  thread_local std::string cached_text;
  const std::int64_t milliseconds = ToMilliseconds(time.time_since_epoch());
  const auto seconds = static_cast<std::time_t>(milliseconds / 1000);
  if (seconds != cached_second) {
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    cached_text.assign(text.data(), length);
    cached_second = seconds;
  }
  std::string fraction = std::to_string(1000 + milliseconds % 1000);
  fraction.front() = '.';
  return cached_text + fraction + "Z";
}

}  // namespace

std::string FormatLogLine(const LogOptions& options,
                          const LogLine& line,
                          std::span<const LogField> fields) {
  JsonLine json(kReservedLineBytes);
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
  // log4cplus keeps the appenders of a logger, so a second call of this
  // function would otherwise write each line twice.
  logging->logger.removeAllAppenders();
  if (options.log4cplus_config.empty() &&
      options.output == LogOutput::kStandardOutput) {
    logging->logger.addAppender(log4cplus::SharedAppenderPtr(
        new PipeAppender(kStandardOutputDescriptor)));
  } else if (options.log4cplus_config.empty()) {
    LogToStandardError(logging->logger);
  } else {
    log4cplus::PropertyConfigurator::doConfigure(options.log4cplus_config);
  }
  logging->logger.setLogLevel(ToLog4cplusLevel(options.level));
  History().Replace(std::move(logging));
}

void SetLogLevel(LogLevel level) {
  if (Logging* const logging = History().Current()) {
    logging->logger.setLogLevel(ToLog4cplusLevel(level));
  }
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  Logging* const logging = History().Current();
  if (logging == nullptr ||
      !logging->logger.isEnabledFor(ToLog4cplusLevel(level))) {
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
  logging->logger.log(ToLog4cplusLevel(level),
                      FormatLogLine(logging->options, line, fields));
}

void LogUnthrottled(const LogLine& line,
                    std::initializer_list<LogField> fields) {
  Logging* const logging = History().Current();
  if (logging == nullptr ||
      !logging->logger.isEnabledFor(ToLog4cplusLevel(line.level))) {
    return;
  }
  logging->logger.log(ToLog4cplusLevel(line.level),
                      FormatLogLine(logging->options, line, fields));
}

}  // namespace medlarcroft::adapters
