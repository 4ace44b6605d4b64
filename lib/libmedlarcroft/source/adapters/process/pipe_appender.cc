#include "adapters/process/pipe_appender.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace medlarcroft::adapters {

namespace {

// A writable pipe accepts this many bytes (PIPE_BUF) without blocking; a longer
// write might block after a part of the line.
constexpr std::size_t kMaxLineBytes = 4096;
constexpr std::string_view kCutMark = "...\n";

}  // namespace

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  if (unreported_ > 0) {
    const std::string notice = "{\"event\":\"log-lines-dropped\",\"count\":" +
                               std::to_string(unreported_) + "}\n";
    if (TryWrite(notice)) {
      unreported_ = 0;
    }
  }
  std::string line = event.getMessage() + "\n";
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes - kCutMark.size());
    line.append(kCutMark);
  }
  if (!TryWrite(line)) {
    ++dropped_;
    ++unreported_;
  }
}

bool PipeAppender::TryWrite(const std::string& line) {
  pollfd ready{.fd = descriptor_, .events = POLLOUT, .revents = 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(descriptor_, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace medlarcroft::adapters
