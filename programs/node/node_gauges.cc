// Node: the gauges that its parts offer.
#include <functional>
#include <utility>

#include "node.h"

namespace medlarcroft::node {

using telemetry::MetricDescription;

void Node::RegisterGauges() {
  const auto add = [this](const MetricDescription& metric,
                          std::function<double()> read) {
    metrics_.AddGaugeSource(metric, {}, std::move(read));
  };
  add({"medlar_configuration_version", "Version of the routes in force."},
      [this] { return static_cast<double>(routes_.Version()); });
  add({"medlar_requests_in_flight", "Requests that wait for their answer."},
      [this] { return static_cast<double>(forwarder_.InFlight()); });
  add({"medlar_targets_out_of_reach",
       "1 while this host is cut off from all targets, otherwise 0."},
      [this] { return path_.Reach().IsCutOff() ? 1.0 : 0.0; });
  add({"medlar_relays_in_flight", "Sends that this host makes for others."},
      [this] { return static_cast<double>(relay_handler_.InFlight()); });
  add({"medlar_known_hosts", "Hosts that are listed, this one included."},
      [this] { return static_cast<double>(peers_.KnownHosts()); });
  add({"medlar_sharing_hosts",
       "Hosts among which limits for all are divided; 0: unknown."},
      [this] { return static_cast<double>(peers_.Sharing().Share().hosts); });
  add({"medlar_targets", "Targets that are registered."},
      [this] { return static_cast<double>(targets_.Size()); });
  add({"medlar_resting_targets", "Targets that this host lets rest."},
      [this] { return static_cast<double>(targets_.RestingCount()); });
  add({"medlar_balanced_services",
       "Services of which requests move from full regions to others."},
      [this] { return static_cast<double>(path_.BalancedServices()); });
  add({"medlar_retries_earned",
       "Sends granted since the start of what requests had earned."},
      [this] { return static_cast<double>(path_.RetryCounts().earned); });
  add({"medlar_retries_fixed",
       "Sends granted since the start of this host's fixed share."},
      [this] { return static_cast<double>(path_.RetryCounts().fixed); });
  add({"medlar_retries_refused", "Sends that the retry limit refused."},
      [this] { return static_cast<double>(path_.RetryCounts().refused); });
  add({"medlar_operator_news_age_seconds",
       "Since the store last answered about the operator's rows."},
      [this] {
        return ToSeconds(operator_follower_.Age().value_or(Duration(0)));
      });
  add({"medlar_target_news_age_seconds",
       "Since the store last answered about targets."},
      [this] {
        return ToSeconds(target_follower_.Age().value_or(Duration(0)));
      });
  add({"medlar_caller_connections", "Open connections of callers."}, [this] {
    return static_cast<double>(caller_listener_->OpenConnections());
  });
  add({"medlar_unsent_response_bytes",
       "What answers that callers have not read take in this process."},
      [this] {
        return static_cast<double>(resources_.memory->Account().HeldBy(
            resources::HolderKind::kResponse));
      });
  add({"medlar_held_bytes",
       "What this process holds for others: requests, answers, relays."},
      [this] {
        return static_cast<double>(resources_.memory->Account().Total());
      });
  add({"medlar_client_connections", "Open connections of clients, all ports."},
      [this] { return static_cast<double>(resources_.connections->Size()); });
  for (const resources::GiveWayReason reason : resources::kGiveWayReasons) {
    metrics_.AddGaugeSource(
        {"medlar_gave_way", "Holders of memory that gave way to others."},
        {telemetry::Label::OfConstant("reason", resources::NameOf(reason))},
        [this, reason] {
          return static_cast<double>(resources_.memory->GaveWay(reason));
        });
  }
  add({"medlar_connections_gave_way",
       "Connections of clients that were closed for those of others."},
      [this] {
        return static_cast<double>(resources_.connections->GaveWay());
      });
  add({"medlar_connections_refused",
       "Connections of clients that found no room."},
      [this] {
        return static_cast<double>(resources_.connections->Refused());
      });
  add({"medlar_undelivered_responses",
       "Answers that callers have not acknowledged whole."},
      [this] {
        const adapters::OwedResponses owed = caller_listener_->MeasureOwed();
        return static_cast<double>(owed.responses + owed.given_up);
      });
  add({"medlar_responses_cut",
       "Connections of callers that were closed while something was owed."},
      [this] {
        return static_cast<double>(caller_listener_->Counters().responses_cut);
      });
  add({"medlar_inputs_dropped",
       "Connections of callers and hosts that this process closed with input "
       "that it had not parsed."},
      [this] {
        return static_cast<double>(caller_listener_->Counters().inputs_dropped +
                                   peer_listener_->Counters().inputs_dropped);
      });
  add({"medlar_target_connections_opened", "Connections opened to targets."},
      [this] {
        return static_cast<double>(caller_.Counters().connections_opened);
      });
  add({"medlar_endless_answers",
       "Answers of targets that were given up since they took too much."},
      [this] {
        return static_cast<double>(caller_.Counters().endless_responses);
      });
}

}  // namespace medlarcroft::node
