#ifndef MEDLARCROFT_ADAPTERS_PROCESS_OTLP_FILE_EXPORTER_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_OTLP_FILE_EXPORTER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "adapters/process/otlp_json.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::adapters {

/// @brief Why the span file can't be used.
enum class SpanFileError { kCannotOpen };

/// @brief Appends spans as OTLP JSON lines to a file or to stderr, on a
/// background thread. The queue is bounded: when the disk is slow or full,
/// spans are dropped and counted, so requests never wait for the disk.
class OtlpFileExporter final : public telemetry::SpanExporter {
 public:
  /// Maximum number of queued spans: at about 1 KB per span, 4 MB of memory.
  static constexpr std::size_t kMaxQueued = 4096;

  /// @param file a path, or "stderr".
  /// @return the exporter, or `kCannotOpen` when the file can't be opened.
  static Result<std::unique_ptr<OtlpFileExporter>, SpanFileError> Open(
      const std::string& file,
      SpanResource resource);

  /// @param out must outlive the exporter.
  OtlpFileExporter(std::ostream& out, SpanResource resource);
  /// @brief Writes the queued spans, then stops the thread.
  ~OtlpFileExporter() override;
  OtlpFileExporter(const OtlpFileExporter&) = delete;
  OtlpFileExporter& operator=(const OtlpFileExporter&) = delete;

  void Export(telemetry::Span span) override;

  [[nodiscard]] std::uint64_t Dropped() const { return dropped_; }

 private:
  OtlpFileExporter(std::unique_ptr<std::ostream> file, SpanResource resource);
  void Run();

  std::unique_ptr<std::ostream> file_;
  std::ostream& out_;
  const SpanResource resource_;
  std::atomic<std::uint64_t> dropped_{0};
  std::mutex mutex_;
  std::condition_variable condition_;
  std::vector<telemetry::Span> queue_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_OTLP_FILE_EXPORTER_H_
