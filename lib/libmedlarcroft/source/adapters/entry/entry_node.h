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

/// @brief Why an entry node could not start.
enum class EntryStartError {
  kCannotListen,
  kCannotListenForShares,
  kBadTlsMaterial,
  kBadKeySecrets,
};

[[nodiscard]] std::string_view NameOf(EntryStartError failure);

/// @brief One medlar-entryd: all of its parts, wired. A program runs it by
/// calling `Tick` from a loop; a test constructs it with a clock of its own.
class EntryNode {
 public:
  static Result<std::unique_ptr<EntryNode>, EntryStartError> Start(
      const EntrydSettings& settings,
      const ports::Clock& clock);

  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// @brief Exchanges with steerd, looks after callers, moves a stop on. Call
  /// it at least four times a second.
  void Tick();

  /// @brief Takes the settings that may change while running.
  void Reload(const EntrydSettings& settings);

  /// @param count signals to stop that have come so far.
  void RequestStop(int count);

  [[nodiscard]] process::StopPhase Phase() const;
  /// @return requests that the stop cut.
  [[nodiscard]] std::size_t Cut() const;
  [[nodiscard]] std::uint16_t Port() const;

 private:
  class Parts;
  explicit EntryNode(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> parts_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_NODE_H_
