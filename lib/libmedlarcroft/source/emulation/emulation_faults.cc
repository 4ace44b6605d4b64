// Fault injection of the emulation.
#include <map>
#include <string>

#include "medlarcroft/emulation/emulation.h"

namespace medlarcroft::emulation {

void Emulation::PlanFaults() {
  for (const EmulatedFault& fault : deployment_.faults) {
    events_.At(start_time_ + fault.from,
               [this, &fault] { SetFault(fault, true); });
    events_.At(start_time_ + fault.until,
               [this, &fault] { SetFault(fault, false); });
  }
}

void Emulation::SetFault(const EmulatedFault& fault, bool is_on) {
  switch (fault.type) {
    case EmulatedFaultType::kIncreasedDemand:
      demand_factor_ = is_on ? fault.strength : 1.0;
      break;
    case EmulatedFaultType::kPartitionedHosts:
      SetPartitionedHosts(is_on ? fault.fraction : 0.0);
      break;
    case EmulatedFaultType::kCutOffHosts:
      SetCutOffHosts(fault, is_on);
      break;
    case EmulatedFaultType::kRestartingHosts:
      if (is_on) {
        RestartNextHost(fault, 0);
      }
      break;
    case EmulatedFaultType::kEndedHosts:
      SetEndedHosts(fault.fraction, is_on);
      break;
    case EmulatedFaultType::kLostHostList:
      SetHostListLost(is_on);
      break;
    case EmulatedFaultType::kCrashingRequest:
      if (is_on) {
        SendCrashingRequest(fault);
      }
      break;
    default:
      SetTargetFault(fault, is_on);
  }
}

void Emulation::SetPartitionedHosts(double fraction) {
  double accumulated = 0;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    accumulated += fraction;
    is_partitioned_[host] = accumulated >= 1.0;
    accumulated -= is_partitioned_[host] ? 1.0 : 0.0;
  }
}

void Emulation::SetTargetFault(const EmulatedFault& fault, bool is_on) {
  std::map<std::string, double> accumulated;
  for (std::size_t target = 0; target < targets_.size(); ++target) {
    TargetInstance& instance = targets_[target];
    if (!fault.service.empty() && fault.service != instance.service) {
      continue;
    }
    // Selects targets of each service at even intervals, so that every region
    // has affected ones.
    double& sum = accumulated[instance.service];
    sum += fault.fraction;
    if (sum < 1.0) {
      continue;
    }
    sum -= 1.0;
    switch (fault.type) {
      case EmulatedFaultType::kSlow:
        instance.target->SetSlowdown(is_on ? fault.strength : 1.0);
        break;
      case EmulatedFaultType::kLostResponses:
        instance.loss_probability = is_on ? fault.strength : 0.0;
        break;
      case EmulatedFaultType::kRejecting:
        instance.rejection_probability = is_on ? fault.strength : 0.0;
        break;
      case EmulatedFaultType::kUnreachable:
        instance.is_unreachable = is_on;
        break;
      case EmulatedFaultType::kRateLimit:
        instance.limit = is_on ? std::optional(fault.strength) : std::nullopt;
        instance.limit_changed_at = events_.Now();
        break;
      case EmulatedFaultType::kRest:
        instance.rest =
            is_on ? std::optional(FromSeconds(fault.strength)) : std::nullopt;
        break;
      case EmulatedFaultType::kLeaving:
        instance.says_leaving = is_on;
        break;
      case EmulatedFaultType::kCrash:
        if (is_on) {
          CrashTarget(target);
        }
        break;
      default:
        break;
    }
  }
}

}  // namespace medlarcroft::emulation
