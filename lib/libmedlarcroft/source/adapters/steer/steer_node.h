#ifndef MEDLARCROFT_ADAPTERS_STEER_STEER_NODE_H_
#define MEDLARCROFT_ADAPTERS_STEER_STEER_NODE_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "adapters/process/steerd_settings.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/process/stop_sequence.h"

namespace medlarcroft::adapters {

/// @brief Why steerd could not start.
enum class SteerStartFailure {
  kCannotListenForLookups,
  kCannotListenForPeers,
  kCannotListenForRouting,
  kBadTlsMaterial,
};

[[nodiscard]] std::string_view NameOf(SteerStartFailure failure);

/// @brief A complete medlar-steerd: constructs and connects all components. A
/// program runs it by calling `Tick` in a loop; a test can pass its own clock.
class SteerNode {
 public:
  static Result<std::unique_ptr<SteerNode>, SteerStartFailure> Start(
      const SteerdSettings& settings,
      const ports::Clock& clock);

  ~SteerNode();
  SteerNode(const SteerNode&) = delete;
  SteerNode& operator=(const SteerNode&) = delete;

  /// @brief Updates plans and advances a shutdown in progress. Call it at least
  /// four times a second.
  void Tick();

  /// @brief Applies the settings that may change at run time.
  void Reload(const SteerdSettings& settings);

  /// @brief Starts or hastens the shutdown.
  /// @param count number of stop signals received so far.
  void RequestStop(int count);

  [[nodiscard]] process::StopPhase Phase() const;
  /// @return number of requests that the shutdown aborted.
  [[nodiscard]] std::size_t Cut() const;

 private:
  class Impl;
  explicit SteerNode(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_STEER_NODE_H_
