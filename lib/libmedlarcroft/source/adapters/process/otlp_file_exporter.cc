#include "adapters/process/otlp_file_exporter.h"

#include <fstream>
#include <iostream>
#include <utility>

namespace medlarcroft::adapters {

Result<std::unique_ptr<OtlpFileExporter>, SpanFileError> OtlpFileExporter::Open(
    const std::string& file,
    SpanResource resource) {
  if (file == "stderr") {
    return std::make_unique<OtlpFileExporter>(std::cerr, std::move(resource));
  }
  auto stream = std::make_unique<std::ofstream>(file, std::ios::app);
  if (!stream->is_open()) {
    return SpanFileError::kCannotOpen;
  }
  return std::unique_ptr<OtlpFileExporter>(
      new OtlpFileExporter(std::move(stream), std::move(resource)));
}

OtlpFileExporter::OtlpFileExporter(std::ostream& out, SpanResource resource)
    : out_(out), resource_(std::move(resource)), thread_([this] { Run(); }) {}

OtlpFileExporter::OtlpFileExporter(std::unique_ptr<std::ostream> file,
                                   SpanResource resource)
    : file_(std::move(file)),
      out_(*file_),
      resource_(std::move(resource)),
      thread_([this] { Run(); }) {}

OtlpFileExporter::~OtlpFileExporter() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  condition_.notify_one();
  thread_.join();
}

void OtlpFileExporter::Export(telemetry::Span span) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= kMaxQueued) {
      dropped_++;
      return;
    }
    queue_.push_back(std::move(span));
  }
  condition_.notify_one();
}

void OtlpFileExporter::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_ || !queue_.empty()) {
    condition_.wait(lock, [this] { return is_stopping_ || !queue_.empty(); });
    const std::vector<telemetry::Span> batch = std::exchange(queue_, {});
    lock.unlock();
    if (!batch.empty()) {
      out_ << FormatOtlpJson(resource_, batch) << '\n' << std::flush;
      // Clears a write error, so that tracing resumes once a full disk has
      // space again.
      out_.clear();
    }
    lock.lock();
  }
}

}  // namespace medlarcroft::adapters
