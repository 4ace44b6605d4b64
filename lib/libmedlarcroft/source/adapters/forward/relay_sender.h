#ifndef MEDLARCROFT_ADAPTERS_FORWARD_RELAY_SENDER_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_RELAY_SENDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/event/event_http_client.h"
#include "adapters/forward/relay_protocol.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/request_path/helper_selector.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

using request_path::RelayHelper;

/// @brief The end of a relayed send.
struct RelayResult {
  RelayEnd end = RelayEnd::kRefused;
  HostName helper;  ///< Empty: no helper was found.
  /// Whether `end` is the helper's word. Otherwise it did not answer, which
  /// says nothing of the target.
  bool is_stated = false;
  ExchangeResponse response;  ///< The target's, if `end` is `kAnswered`.
};

/// @brief Has other hosts send requests, while this host is cut off from the
/// targets.
class RelaySender {
 public:
  struct Callbacks {
    /// @return the serialized request for the target, which states the time
    /// left.
    std::function<std::string(Duration time_left)> encode;
    /// Called before anything is sent later than in `Send`. Cancels the send if
    /// nobody waits for it or its target must get no requests any more, and
    /// returns whether it did.
    std::function<bool()> cancel_if_unwanted;
    /// Called with what the target says about itself.
    std::function<void(const request_path::TargetNotice&)> on_notice;
    /// Runs once, never from within `Send`.
    std::function<void(RelayResult)> on_end;
  };
  struct Parts {
    EventLoop& loop;
    /// Must not repeat requests by itself.
    EventHttpClient& caller;
    ports::RandomSource& random;
    telemetry::MetricsRegistry& metrics;
    /// @return the live hosts of a region, or with an empty name all hosts of
    /// other regions, without this one.
    request_path::HelperSelector::FindHelpers find_helpers;
  };

  explicit RelaySender(Parts parts)
      : parts_(std::move(parts)), selector_(parts_.random) {}
  ~RelaySender();
  RelaySender(const RelaySender&) = delete;
  RelaySender& operator=(const RelaySender&) = delete;

  /// @brief Sends through a random host of the first of `regions` that has one.
  /// A host that provably did not send is replaced by another one, up to
  /// `kMaxHelpers` in all.
  /// @param request without its text.
  std::uint64_t Send(RelayRequest request,
                     std::vector<RegionName> regions,
                     Callbacks callbacks);
  /// @brief Gives up a send, without a callback. The helper gives it up too.
  void Cancel(std::uint64_t relay);
  /// @brief Takes in what has arrived for a relay, which may end it.
  void CatchUp(std::uint64_t relay);

 private:
  static constexpr int kMaxHelpers = 4;

  struct Relay {
    RelayRequest request;
    std::vector<RegionName> regions;
    Callbacks callbacks;
    MonotonicTime deadline{};
    int helpers_tried = 0;
    ExchangeId exchange = 0;
  };

  void SendToNextHelper(std::uint64_t number);
  void OnResult(std::uint64_t number,
                const RelayHelper& helper,
                ExchangeResult result);
  void Finish(std::uint64_t number, RelayResult result);

  Parts parts_;
  std::uint64_t last_relay_ = 0;
  std::unordered_map<std::uint64_t, Relay> relays_;
  request_path::HelperSelector selector_;
  std::shared_ptr<RelaySender*> alive_ = std::make_shared<RelaySender*>(this);
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_RELAY_SENDER_H_
