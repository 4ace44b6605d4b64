#ifndef MEDLARCROFT_EMULATION_EMULATED_HOST_H_
#define MEDLARCROFT_EMULATION_EMULATED_HOST_H_

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <utility>

#include "medlarcroft/emulation/emulated_deployment.h"
#include "medlarcroft/membership/sharing_hosts.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/request_path/helper_selector.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::emulation {

/// @brief Pseudorandom numbers that are reproducible for a given seed.
class SeededRandom final : public ports::RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  [[nodiscard]] std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// @brief A host that runs the production request path.
class EmulatedHost final : public request_path::TargetDirectoryObserver,
                           public request_path::CrashObserver,
                           public request_path::LimitObserver {
 public:
  /// @brief Callbacks for the reports that this host publishes to the others.
  struct ReportSinks {
    std::function<void(const request_path::CrashReport&)> on_crash;
    /// The crash tracker must be advanced after this time.
    std::function<void(Duration)> on_held;
    std::function<void(const request_path::LimitReport&)> on_limit;
  };

  /// @param options `own_region` is replaced by `region`.
  /// @param started_at when its process began.
  EmulatedHost(const EmulatedDeployment& deployment,
               const std::string& region,
               request_path::RequestPath::Options options,
               std::uint64_t seed,
               MonotonicTime started_at);

  /// @brief Replaces all known targets by the content of the target registry.
  void Register(std::span<const request_path::TargetRecord> targets,
                MonotonicTime now);

  /// @brief Applies what the host knows of the list of hosts.
  void UpdateHostList(const membership::HostListView& view, MonotonicTime now);

  void SetReportSinks(ReportSinks sinks) { sinks_ = std::move(sinks); }

  [[nodiscard]] request_path::RequestPath& Path() { return path_; }
  [[nodiscard]] request_path::HelperSelector& Helpers() { return helpers_; }
  [[nodiscard]] const membership::SharingHosts& Sharing() const {
    return sharing_;
  }
  [[nodiscard]] const std::string& Region() const { return region_; }

  void OnTargetChange(request_path::TargetChange /*change*/,
                      const request_path::TargetRecord& /*target*/) override {}
  void OnPublish(const request_path::CrashReport& report) override;
  void OnBlocked(request_path::RequestFingerprint /*request*/,
                 Duration /*blocked_for*/,
                 bool /*is_own*/) override {}
  void OnUnblocked(request_path::RequestFingerprint /*request*/) override {}
  void OnHeld(request_path::RequestFingerprint request,
              Duration delay) override;
  void OnPublish(const request_path::LimitReport& report) override;
  void OnLimited(request_path::TargetNumber /*target*/,
                 double /*requests_per_second*/,
                 double /*own_rate*/) override {}
  void OnLifted(request_path::TargetNumber /*target*/) override {}

 private:
  std::string region_;
  ReportSinks sinks_;
  SeededRandom random_;
  routing::RouteTable routes_;
  request_path::TargetDirectory targets_;
  request_path::RequestPath path_;
  request_path::HelperSelector helpers_;
  membership::SharingHosts sharing_;
};

/// @return the HTTP host name of all routes.
[[nodiscard]] std::string_view EmulatedHttpHost();
/// @return the path of requests of that class.
[[nodiscard]] std::string PathOf(const EmulatedRequestClass& request_class);

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATED_HOST_H_
