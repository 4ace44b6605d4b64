#ifndef MEDLARCROFT_ADAPTERS_PEER_BEAT_CHANNEL_H_
#define MEDLARCROFT_ADAPTERS_PEER_BEAT_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "adapters/event/event_loop.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/membership/host_state.h"

namespace medlarcroft::adapters {

/// @return the datagram of one host state, without its loads.
[[nodiscard]] std::string EncodeBeat(const membership::HostState& state);

/// @return the state, or nullopt when `datagram` is none.
[[nodiscard]] std::optional<membership::HostState> DecodeBeat(
    std::string_view datagram);

/// @brief Hosts tell each other that they live, one datagram each: losing one
/// costs nothing, and no connection has to be kept or found silent.
class BeatChannel final : public DescriptorHandler {
 public:
  enum class Failure { kBadAddress, kCannotBind };
  using Receiver = std::function<void(const membership::HostState&)>;

  static Result<std::unique_ptr<BeatChannel>, Failure>
  Open(EventLoop& loop, const std::string& address, Receiver receiver);
  ~BeatChannel() override;

  /// @return false when the datagram could not be handed to the kernel.
  bool Send(const std::string& address, const membership::HostState& state);

  [[nodiscard]] std::uint64_t Malformed() const { return malformed_; }

  void OnReadable() override;
  void OnWritable() override {}

 private:
  BeatChannel(EventLoop& loop, int descriptor, Receiver receiver);

  EventLoop& loop_;
  int descriptor_;
  Receiver receiver_;
  std::uint64_t malformed_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_BEAT_CHANNEL_H_
