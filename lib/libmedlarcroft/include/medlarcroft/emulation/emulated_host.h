#ifndef MEDLARCROFT_EMULATION_EMULATED_HOST_H_
#define MEDLARCROFT_EMULATION_EMULATED_HOST_H_

#include <cstdint>
#include <random>
#include <span>
#include <string>

#include "medlarcroft/emulation/emulated_deployment.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::emulation {

/// @brief Random numbers that repeat with their seed.
class RepeatableRandom final : public ports::RandomSource {
 public:
  explicit RepeatableRandom(std::uint64_t seed) : engine_(seed) {}
  [[nodiscard]] std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// @brief One host with the product's own decisions.
class EmulatedHost final : public request_path::BookObserver {
 public:
  /// @param options its region is replaced by the host's.
  EmulatedHost(const EmulatedDeployment& deployment,
               const std::string& region,
               request_path::RequestPath::Options options,
               std::uint64_t seed);

  /// @brief Takes the registry's content.
  void Register(std::span<const request_path::TargetRecord> targets,
                MonotonicTime now);

  [[nodiscard]] request_path::RequestPath& Path() { return path_; }
  [[nodiscard]] const std::string& Region() const { return region_; }

  void OnTargetChange(request_path::BookChange /*change*/,
                      const request_path::TargetRecord& /*target*/) override {}

 private:
  std::string region_;
  RepeatableRandom random_;
  routing::RouteTable routes_;
  request_path::TargetBook targets_;
  request_path::RequestPath path_;
};

/// @return the callers' name of all routes.
[[nodiscard]] std::string_view EmulatedSite();
/// @return the path of a request of that kind.
[[nodiscard]] std::string PathOf(const EmulatedKind& kind);

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATED_HOST_H_
