#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_NODE_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_NODE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "adapters/http/http_server.h"
#include "adapters/process/entryd_settings.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/process/stop_sequence.h"

namespace medlarcroft::adapters {

/// @brief Reason for which an entry node could not start.
enum class EntryStartError {
  kCannotListen,
  kCannotListenForShares,
  kInvalidTlsCredentials,
  kInvalidKeySecrets,
};

[[nodiscard]] std::string_view NameOf(EntryStartError error);

/// @brief Composition root of medlar-entryd. The program runs it by calling
/// `Tick` in a loop; a test can construct it with its own clock.
class EntryNode {
 public:
  static Result<std::unique_ptr<EntryNode>, EntryStartError> Start(
      const EntrydSettings& settings,
      const ports::Clock& clock);

  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// @brief Records a heartbeat of this process for the seat leases, checks for
  /// disconnected callers and advances the stop sequence. Call it at least four
  /// times a second.
  void Tick();

  /// @brief Applies the settings that may change at run time.
  void Reload(const EntrydSettings& settings);

  /// @param count number of stop signals received so far.
  void RequestStop(int count);

  [[nodiscard]] process::StopPhase Phase() const;
  /// @return number of requests that were aborted by the stop.
  [[nodiscard]] std::size_t Cut() const;
  [[nodiscard]] std::uint16_t Port() const;

 private:
  class Impl;
  explicit EntryNode(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_NODE_H_
