#ifndef MEDLARCROFT_ADAPTERS_PROCESS_PIPE_APPENDER_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_PIPE_APPENDER_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarcroft::adapters {

/// @brief Writes lines to a descriptor without ever waiting for its reader.
///
/// Failure: whoever reads the log stops reading. Symptom: the pipe fills, the
/// next line blocks, and with it every request. So a line goes out only when
/// the descriptor takes it at once; those dropped are counted and told with the
/// next one that goes out.
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
  std::uint64_t untold_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_PIPE_APPENDER_H_
