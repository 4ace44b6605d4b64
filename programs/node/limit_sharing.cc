#include "limit_sharing.h"

#include <span>
#include <string>

#include "adapters/process/log.h"
#include "medlarcroft/peer_updates/update_timing.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;

constexpr telemetry::MetricDescription kLimitedTargets = {
    "medlar_limited_targets",
    "Targets that name a rate limit for all hosts together."};

}  // namespace

LimitSharing::LimitSharing(const Parts& parts) : parts_(parts) {
  parts_.limits.Observe(this);
  parts_.metrics.AddGaugeSource(kLimitedTargets, {}, [this] {
    return static_cast<double>(parts_.limits.Size());
  });
}

LimitSharing::~LimitSharing() {
  parts_.limits.Observe(nullptr);
}

void LimitSharing::Start() {
  parts_.loop.Every(peer_updates::kGlobalRepeatPeriod, [this] {
    parts_.peers.PublishLimits(
        parts_.limits.ReportsToRepeat(parts_.loop.Now()));
  });
}

void LimitSharing::OnPublish(const request_path::LimitReport& report) {
  parts_.peers.PublishLimits(std::span(&report, 1));
}

void LimitSharing::OnLimited(request_path::TargetNumber target,
                             double requests_per_second,
                             double own_rate) {
  Log(LogLevel::kInfo, "target-limited",
      {{"target", NameOf(target)},
       {"requests_per_second", requests_per_second},
       {"own_rate", own_rate}});
}

void LimitSharing::OnLifted(request_path::TargetNumber target) {
  Log(LogLevel::kInfo, "target-limit-ended", {{"target", NameOf(target)}});
}

std::string LimitSharing::NameOf(request_path::TargetNumber target) const {
  const request_path::TargetState* const state = parts_.targets.Find(target);
  return state == nullptr ? std::string() : state->Record().id.Value();
}

}  // namespace medlarcroft::node
