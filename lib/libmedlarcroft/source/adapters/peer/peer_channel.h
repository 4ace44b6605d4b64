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
    const peer_updates::PeerUpdate& news);

/// @return the news, or nullopt when `datagram` is none.
[[nodiscard]] std::optional<peer_updates::PeerUpdate> DecodePeerUpdate(
    std::string_view datagram);

/// @brief Hosts tell each other that they live and what they placed, by
/// datagrams: losing one costs little, and no connection has to be kept or
/// found silent.
class PeerChannel final : public DescriptorHandler,
                          public peer_updates::UpdateSender {
 public:
  enum class Failure { kBadAddress, kCannotBind };
  using Receiver = std::function<void(const peer_updates::PeerUpdate&)>;

  static Result<std::unique_ptr<PeerChannel>, Failure>
  Open(EventLoop& loop, const std::string& address, Receiver receiver);
  ~PeerChannel() override;

  /// @brief Sends to each address. One datagram that is lost, or that the
  /// kernel does not take, is made up for by the next one.
  void Send(std::span<const std::string> addresses,
            const peer_updates::PeerUpdate& news) override;

  [[nodiscard]] std::uint64_t Malformed() const { return malformed_; }

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
