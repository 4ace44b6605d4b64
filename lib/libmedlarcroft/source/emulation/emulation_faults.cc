// What goes wrong in an emulation, and when.
#include <map>
#include <string>

#include "medlarcroft/emulation/emulation.h"

namespace medlarcroft::emulation {

void Emulation::PlanFaults() {
  for (const EmulatedFault& fault : deployment_.faults) {
    events_.At(began_ + fault.from, [this, &fault] { SetFault(fault, true); });
    events_.At(began_ + fault.until,
               [this, &fault] { SetFault(fault, false); });
  }
}

void Emulation::SetFault(const EmulatedFault& fault, bool is_on) {
  switch (fault.trouble) {
    case EmulatedTrouble::kMoreCallers:
      more_callers_ = is_on ? fault.strength : 1.0;
      break;
    case EmulatedTrouble::kCutHosts:
      SetCutHosts(is_on ? fault.part : 0.0);
      break;
    case EmulatedTrouble::kCrashingRequest:
      if (is_on) {
        AskCrashingRequest(fault);
      }
      break;
    default:
      SetTargetFault(fault, is_on);
  }
}

void Emulation::SetCutHosts(double part) {
  double owed = 0;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    owed += part;
    is_cut_[host] = owed >= 1.0;
    owed -= is_cut_[host] ? 1.0 : 0.0;
  }
}

void Emulation::SetTargetFault(const EmulatedFault& fault, bool is_on) {
  std::map<std::string, double> owed;
  for (Placed& placed : targets_) {
    if (!fault.service.empty() && fault.service != placed.service) {
      continue;
    }
    // Every so-many-th target of each service, so that all regions have some.
    double& due = owed[placed.service];
    due += fault.part;
    if (due < 1.0) {
      continue;
    }
    due -= 1.0;
    switch (fault.trouble) {
      case EmulatedTrouble::kSlow:
        placed.target->SetSlowdown(is_on ? fault.strength : 1.0);
        break;
      case EmulatedTrouble::kLostAnswers:
        placed.lost_part = is_on ? fault.strength : 0.0;
        break;
      case EmulatedTrouble::kGone:
        placed.is_gone = is_on;
        break;
      case EmulatedTrouble::kRateLimit:
        placed.limit = is_on ? std::optional(fault.strength) : std::nullopt;
        placed.limit_changed_at = events_.Now();
        break;
      default:
        break;
    }
  }
}

}  // namespace medlarcroft::emulation
