#ifndef MEDLARCROFT_ADAPTERS_PEER_THRIFT_CHANNEL_H_
#define MEDLARCROFT_ADAPTERS_PEER_THRIFT_CHANNEL_H_

#include <thrift/Thrift.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "adapters/peer/compact_protocol.h"
#include "adapters/peer/frame_transport.h"
#include "gen-cpp/medlarcroft_types.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Why a Thrift call failed.
enum class ThriftCallFailure {
  kUnreachable,  ///< Could not connect, or the connection broke.
  kTimedOut,
  kRefused,         ///< The peer refused the call with `wire::PeerRefusal`.
  kMalformedAnswer  ///< The answer could not be decoded.
};

/// @brief A connection to a Thrift service, opened on first use and reopened
/// after a failure. Thread-safe; processes one call at a time.
template <typename Client>
class ThriftChannel {
 public:
  /// @param address IP:port.
  /// @param timeout limit of each connect, send and receive operation.
  /// @param byte_counters may be null; must otherwise outlive the channel.
  ThriftChannel(std::string address,
                Duration timeout,
                FrameByteCounters* byte_counters = nullptr)
      : address_(std::move(address)),
        timeout_(timeout),
        byte_counters_(byte_counters) {}

  /// @brief Runs `call(client)`. After any failure, the peer may or may not
  /// have executed the call.
  template <typename Call>
  auto Invoke(Call call)
      -> Result<decltype(call(std::declval<Client&>())), ThriftCallFailure> {
    const std::lock_guard lock(mutex_);
    try {
      if (!client_) {
        Connect();
      }
      return call(*client_);
    } catch (const wire::PeerRefusal&) {
      return ThriftCallFailure::kRefused;
    } catch (const apache::thrift::transport::TTransportException& failure) {
      client_.reset();
      using Kind = apache::thrift::transport::TTransportException;
      return failure.getType() == Kind::TIMED_OUT
                 ? ThriftCallFailure::kTimedOut
                 : ThriftCallFailure::kUnreachable;
    } catch (const apache::thrift::TException&) {
      client_.reset();
      return ThriftCallFailure::kMalformedAnswer;
    }
  }

  [[nodiscard]] const std::string& Address() const { return address_; }

 private:
  void Connect() {
    auto transport =
        std::make_shared<FrameTransport>(address_, timeout_, byte_counters_);
    transport->open();
    client_ =
        std::make_unique<Client>(MakeCompactProtocol(std::move(transport)));
  }

  const std::string address_;
  const Duration timeout_;
  FrameByteCounters* const byte_counters_;
  std::mutex mutex_;
  std::unique_ptr<Client> client_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_THRIFT_CHANNEL_H_
