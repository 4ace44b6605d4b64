#ifndef MEDLARCROFT_EMULATION_EMULATED_DEPLOYMENT_H_
#define MEDLARCROFT_EMULATION_EMULATED_DEPLOYMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/routing/routing_configuration.h"

namespace medlarcroft::emulation {

/// @brief A region: its hosts, and the phase of its periodic demand.
struct EmulatedRegion {
  std::string name;
  std::uint32_t hosts = 1;
  double demand_weight = 1.0;  ///< Relative to other regions.
  double wave_phase = 0.0;     ///< Fraction of the period, 0 to 1.
};

/// @brief Targets of a service in one region.
struct EmulatedTargets {
  std::string region;
  std::uint32_t count = 0;
};

/// @brief A service and the properties that all its targets share.
struct EmulatedService {
  std::string name;
  std::uint32_t slots = 3;
  std::uint32_t queue = 9;  ///< Queued requests; more are not run.
  /// Capacity, in objects, of a target's LRU cache. Requests for a cached
  /// object are processed faster.
  std::uint32_t cached_objects = 30;
  /// How long a target stays cold after its start.
  Duration cold_time{0};
  /// Requests per second that a cold target can handle, from all hosts.
  double cold_requests_per_second = 0;
  /// Service times of a target are scaled by a constant factor that is drawn
  /// uniformly from 1 - x to 1 + x.
  double speed_variation = 0.0;
  std::vector<EmulatedTargets> targets;
};

/// @brief A class of requests that callers send.
struct EmulatedRequestClass {
  std::string name;
  std::string service;
  routing::RequestKind kind = routing::RequestKind::kIdempotent;
  double requests_per_second = 10;  ///< All regions, mean over a period.
  Duration work = std::chrono::milliseconds(100);  ///< Mean, uncached.
  double work_spread = 0.15;      ///< Coefficient of variation.
  double warm_work_factor = 0.3;  ///< Cached over uncached.
  Duration objective = std::chrono::milliseconds(100);
  Duration timeout = std::chrono::milliseconds(300);
  Duration deadline = std::chrono::milliseconds(1000);  ///< Of the caller.
  std::uint32_t max_attempts = 2;
  std::uint32_t objects = 30;  ///< Distinct, per region.
  double credit = 1.0;
  double late_credit = 0.2;
  std::uint32_t caller_retries = 1;  ///< At most, per request.
};

enum class EmulatedFaultType {
  kSlow,              ///< Service times are multiplied by `strength`.
  kLostResponses,     ///< `strength` is the fraction of responses that are
                      ///< lost after the request ran.
  kUnreachable,       ///< Connections fail.
  kIncreasedDemand,   ///< Demand of all regions is multiplied by `strength`.
  kPartitionedHosts,  ///< Affected hosts neither send nor receive reports.
  /// A request that crashes every target that runs it is sent `strength` times
  /// a second to random hosts, always with the same fingerprint.
  kCrashingRequest,
  /// Each affected target declares a rate limit of `strength` requests a
  /// second, summed over all hosts.
  kRateLimit,
  /// Each affected target turns all requests away and asks the host for
  /// `strength` seconds of rest.
  kRest,
  /// Each affected target says in its responses that it leaves, but serves on.
  kLeaving,
  /// Affected hosts lose their links to all targets; other hosts and callers
  /// still reach them. New connections are refused after `strength` seconds.
  kCutOffHosts,
  /// Affected hosts restart one after another, `strength` a second, and again.
  kRestartingHosts,
  /// The store is down and has lost the rows of all hosts, which write them
  /// again afterwards.
  kLostHostList,
  /// Affected targets crash once and return cold.
  kCrash,
  /// Each affected target rejects the fraction `strength` of its requests at
  /// once.
  kRejecting,
  /// Affected hosts end, and start again at the end of the fault. Meanwhile
  /// their callers use the other hosts.
  kEndedHosts,
};

/// @brief A fault that is injected for a limited time.
struct EmulatedFault {
  EmulatedFaultType type = EmulatedFaultType::kSlow;
  std::string service;    ///< Empty: all services.
  double fraction = 0.3;  ///< Fraction of the service's targets or hosts.
  double strength = 4.0;  ///< Meaning depends on the type.
  Duration from{0};       ///< After the start of the run.
  Duration until{0};
};

/// @brief Input of an emulation. Runs with the same seed are identical.
struct EmulatedDeployment {
  std::vector<EmulatedRegion> regions;
  std::vector<EmulatedService> services;
  std::vector<EmulatedRequestClass> request_classes;
  std::vector<EmulatedFault> faults;
  Duration inter_region_latency = std::chrono::milliseconds(55);   ///< One way.
  Duration intra_region_latency = std::chrono::microseconds(500);  ///< One way.
  Duration caller_latency = std::chrono::milliseconds(8);          ///< One way.
  double wave_amplitude = 0.0;  ///< Of the demand, over its mean.
  Duration wave_period = std::chrono::seconds(36);
  Duration duration = std::chrono::seconds(32);
  /// Length of the windows over which credit is summed. The two worst windows
  /// have a weight of their own in the score.
  Duration window = std::chrono::seconds(2);
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATED_DEPLOYMENT_H_
