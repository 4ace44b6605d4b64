#include "adapters/process/pipe_appender.h"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace medlarcroft::adapters {

namespace {

// A pipe that is ready takes so much at once (PIPE_BUF); a longer line might
// block halfway.
constexpr std::size_t kMaxLineBytes = 4096;
constexpr std::string_view kCutMark = "...\n";

}  // namespace

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  if (untold_ > 0) {
    const std::string notice = "{\"event\":\"log-lines-dropped\",\"count\":" +
                               std::to_string(untold_) + "}\n";
    if (TryWrite(notice)) {
      untold_ = 0;
    }
  }
  std::string line = event.getMessage() + "\n";
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes - kCutMark.size());
    line.append(kCutMark);
  }
  if (!TryWrite(line)) {
    ++dropped_;
    ++untold_;
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
