#ifndef MEDLARCROFT_EMULATION_EMULATED_DEPLOYMENT_H_
#define MEDLARCROFT_EMULATION_EMULATED_DEPLOYMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/routing/routing_configuration.h"

namespace medlarcroft::emulation {

/// @brief A region: its hosts, and the wave in which its demand moves.
struct EmulatedRegion {
  std::string name;
  std::uint32_t hosts = 1;
  double demand = 1.0;      ///< Its part of all demand, over the others'.
  double wave_phase = 0.0;  ///< Of the wave's period, 0 to 1.
};

/// @brief Targets of a service in one region.
struct EmulatedTargets {
  std::string region;
  std::uint32_t count = 0;
};

/// @brief What all targets of a service are like.
struct EmulatedService {
  std::string name;
  std::uint32_t slots = 3;
  std::uint32_t queue = 9;  ///< Requests that wait there; beyond, not run.
  /// Objects that a target works faster on, the latest handled ones.
  std::uint32_t remembered_objects = 30;
  /// By how much targets differ in speed: work takes 1 - x to 1 + x times.
  double uneven_by = 0.0;
  std::vector<EmulatedTargets> targets;
};

/// @brief What callers ask for.
struct EmulatedKind {
  std::string name;
  std::string service;
  routing::RequestKind kind = routing::RequestKind::kIdempotent;
  double requests_per_second = 10;  ///< Of all regions, over the wave's mean.
  Duration work = std::chrono::milliseconds(100);  ///< Without the object.
  double work_spread = 0.15;  ///< Standard deviation over the mean.
  double warm_work = 0.3;     ///< With the object, over that without.
  Duration objective = std::chrono::milliseconds(100);
  Duration timeout = std::chrono::milliseconds(300);
  Duration deadline = std::chrono::milliseconds(1000);  ///< Of the caller.
  std::uint32_t max_attempts = 2;
  std::uint32_t objects = 30;  ///< Of each region's callers.
  double worth = 1.0;
  double worth_late = 0.2;
  std::uint32_t returns = 1;  ///< How often a caller comes back.
};

enum class EmulatedTrouble {
  kSlow,         ///< Work takes `strength` times as long.
  kLostAnswers,  ///< That part of the answers is lost, after the work.
  kGone,         ///< Nothing answers; connections fail.
  kMoreCallers,  ///< Demand of all regions is `strength` times as high.
  kCutHosts,     ///< That part of the hosts neither tells nor hears of objects.
  /// A request that crashes each target that runs it is sent `strength` times a
  /// second, always with the same fingerprint, to random hosts.
  kCrashingRequest,
  /// Each affected target declares a rate limit of `strength` requests a
  /// second, summed over all hosts.
  kRateLimit,
};

/// @brief Something that goes wrong for a while.
struct EmulatedFault {
  EmulatedTrouble trouble = EmulatedTrouble::kSlow;
  std::string service;    ///< Empty: all.
  double part = 0.3;      ///< Of the service's targets, or of the hosts.
  double strength = 4.0;  ///< By kind.
  Duration from{0};       ///< After the first arrivals.
  Duration until{0};
};

/// @brief All that an emulation is made from; the same seed gives the same run.
struct EmulatedDeployment {
  std::vector<EmulatedRegion> regions;
  std::vector<EmulatedService> services;
  std::vector<EmulatedKind> kinds;
  std::vector<EmulatedFault> faults;
  Duration between_regions = std::chrono::milliseconds(55);  ///< One way.
  Duration within_region = std::chrono::microseconds(500);   ///< One way.
  Duration to_callers = std::chrono::milliseconds(8);        ///< One way.
  double wave_swing = 0.0;  ///< Demand moves by this part of its mean.
  Duration wave_period = std::chrono::seconds(36);
  Duration length = std::chrono::seconds(32);
  /// Of these windows the two worst count by themselves.
  Duration window = std::chrono::seconds(2);
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATED_DEPLOYMENT_H_
