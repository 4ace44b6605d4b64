#ifndef MEDLARCROFT_ADAPTERS_PEER_PEER_CHANNEL_H_
#define MEDLARCROFT_ADAPTERS_PEER_PEER_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "adapters/event/event_loop.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/peer_updates/region_broadcaster.h"

namespace medlarcroft::adapters {

[[nodiscard]] std::string EncodePeerUpdate(
    const peer_updates::PeerUpdate& update);

/// @return the update, or nullopt when `datagram` is malformed.
[[nodiscard]] std::optional<peer_updates::PeerUpdate> DecodePeerUpdate(
    std::string_view datagram);

/// @brief UDP socket on which hosts send each other heartbeats, host states and
/// the requests that they placed. The loss of a datagram has little effect, and
/// there are no connections to keep open or to check for silence.
class PeerChannel final : public DescriptorHandler,
                          public peer_updates::UpdateSender {
 public:
  enum class Failure { kBadAddress, kCannotBind };
  using Receiver = std::function<void(const peer_updates::PeerUpdate&)>;

  static Result<std::unique_ptr<PeerChannel>, Failure>
  Open(EventLoop& loop, const std::string& address, Receiver receiver);
  ~PeerChannel() override;

  /// @brief Sends the update to each address, without retries: later datagrams
  /// make up for one that is lost or that the kernel does not accept.
  /// @param addresses IP:port; invalid ones are skipped.
  void Send(std::span<const std::string> addresses,
            const peer_updates::PeerUpdate& update) override;

  [[nodiscard]] std::uint64_t MalformedDatagrams() const { return malformed_; }

  void OnReadable() override;
  void OnWritable() override {}

 private:
  PeerChannel(EventLoop& loop, int descriptor, Receiver receiver);

  EventLoop& loop_;
  int descriptor_;
  Receiver receiver_;
  std::uint64_t malformed_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_PEER_CHANNEL_H_
