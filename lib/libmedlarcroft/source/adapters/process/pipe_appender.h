#ifndef MEDLARCROFT_ADAPTERS_PROCESS_PIPE_APPENDER_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_PIPE_APPENDER_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarcroft::adapters {

/// @brief Writes log lines to a file descriptor without blocking.
///
/// When the reader of the log stops reading, the pipe fills up; a blocking
/// write would then block every request. Therefore a line is written only when
/// the descriptor accepts it immediately; other lines are dropped, and their
/// number is logged before the next line that is written.
class PipeAppender final : public log4cplus::Appender {
 public:
  explicit PipeAppender(int descriptor) : descriptor_(descriptor) {}
  ~PipeAppender() override { destructorImpl(); }

  void close() override {}

  [[nodiscard]] std::uint64_t Dropped() const { return dropped_; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  bool TryWrite(const std::string& line);

  const int descriptor_;
  std::uint64_t dropped_ = 0;
  std::uint64_t unreported_ = 0;  ///< Dropped lines not yet logged.
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_PIPE_APPENDER_H_
