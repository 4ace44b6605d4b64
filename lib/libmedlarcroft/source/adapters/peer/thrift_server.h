#ifndef MEDLARCROFT_ADAPTERS_PEER_THRIFT_SERVER_H_
#define MEDLARCROFT_ADAPTERS_PEER_THRIFT_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/process/client_bounds.h"
#include "medlarcroft/core/result.h"

namespace apache::thrift {
class TProcessor;
}  // namespace apache::thrift

namespace medlarcroft::adapters {

/// @brief Why a Thrift listener could not be opened.
enum class ThriftListenFailure { kBadAddress, kCannotBind };

/// @brief Traffic and errors of a Thrift listener since its start.
struct ThriftServerCounters {
  std::atomic<std::uint64_t> frames{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};
  std::atomic<std::uint64_t> bad_frames{0};
  std::atomic<std::uint64_t> connections_refused{0};
  std::atomic<std::uint64_t> connections_closed_for_others{0};
};

/// @brief Serves a Thrift processor with the compact protocol in frames, on a
/// few threads that share an ACE epoll reactor. Handlers must not block for
/// long.
class ThriftServer {
 public:
  struct Options {
    std::string address;  ///< IP:port; port 0 selects a free one.
    unsigned threads = 2;
    /// More than twice the hosts of a full failure domain (52), with room for
    /// the relays of other domains.
    unsigned max_connections = 256;
    /// Closes idle connections, so that they don't count against the limit for
    /// ever. Peers send about once a second.
    std::chrono::seconds idle_timeout{60};
    /// Bounds what messages take; unset: nothing does, but for the bound of
    /// each.
    std::shared_ptr<ClientMemory> memory;
  };

  static Result<std::unique_ptr<ThriftServer>, ThriftListenFailure> Start(
      const Options& options,
      std::shared_ptr<apache::thrift::TProcessor> processor);

  ~ThriftServer();
  ThriftServer(const ThriftServer&) = delete;
  ThriftServer& operator=(const ThriftServer&) = delete;

  [[nodiscard]] std::uint16_t Port() const;
  [[nodiscard]] const ThriftServerCounters& Counters() const;
  void Stop();

 private:
  class Impl;
  explicit ThriftServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_THRIFT_SERVER_H_
