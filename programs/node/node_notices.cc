// Node: what targets say about themselves, in logs and counters.
#include "adapters/process/log.h"
#include "node.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;
using request_path::TargetIdentity;
using telemetry::MetricDescription;

constexpr MetricDescription kRestsStarted = {
    "medlar_target_rests_started_total",
    "Times that a target began to rest because it asked this host for it."};
constexpr MetricDescription kRestsEnded = {
    "medlar_target_rests_ended_total",
    "Times that this host could use a target again after its rest."};
constexpr MetricDescription kLeavingStated = {
    "medlar_targets_leaving_stated_total",
    "Targets that told this host in a response that they leave."};

}  // namespace

void Node::OnRestStarted(const TargetIdentity& target,
                         Duration length,
                         std::string_view request) {
  metrics_.CounterOf(kRestsStarted, {}).Add();
  Log(LogLevel::kInfo, "target-rest-started",
      {{"target", target.name.Value()},
       {"incarnation", target.incarnation},
       {"length_ms", ToMilliseconds(length)},
       {"request", request}});
}

void Node::OnRestEnded(const TargetIdentity& target) {
  metrics_.CounterOf(kRestsEnded, {}).Add();
  Log(LogLevel::kInfo, "target-rest-ended",
      {{"target", target.name.Value()}, {"incarnation", target.incarnation}});
}

void Node::OnLeavingStated(const TargetIdentity& target,
                           std::string_view request) {
  metrics_.CounterOf(kLeavingStated, {}).Add();
  Log(LogLevel::kInfo, "target-leaving-stated",
      {{"target", target.name.Value()},
       {"incarnation", target.incarnation},
       {"request", request}});
}

}  // namespace medlarcroft::node
