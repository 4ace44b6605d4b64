#ifndef MEDLARCROFT_ADAPTERS_LOAD_HTTP_LOAD_TRANSPORT_H_
#define MEDLARCROFT_ADAPTERS_LOAD_HTTP_LOAD_TRANSPORT_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <vector>

#include "adapters/http/http_client.h"
#include "medlarcroft/load_generator/load_transport.h"

namespace medlarcroft::adapters {

/// @return the result of an HTTP exchange as the load generator's type.
[[nodiscard]] load_generator::ExchangeResult ToExchangeResult(
    ClientResult result);

/// @brief Sends the load generator's requests over HTTP and queues the results,
/// with their arrival times, for the session's thread.
class HttpLoadTransport final : public load_generator::LoadTransport {
 public:
  struct ReceivedResult {
    std::uint64_t id = 0;
    load_generator::ExchangeResult result;
    MonotonicTime at;
  };

  /// @param client must be destroyed before the transport, as its callbacks use
  /// the transport.
  explicit HttpLoadTransport(HttpClient& client) : client_(client) {}

  void Send(load_generator::OutgoingRequest request) override;

  /// @brief Waits for results, at most until `until`.
  /// @return the results in order of arrival; may be empty.
  std::vector<ReceivedResult> Wait(MonotonicTime until);

 private:
  HttpClient& client_;
  std::mutex mutex_;
  std::condition_variable condition_;
  std::vector<ReceivedResult> results_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_LOAD_HTTP_LOAD_TRANSPORT_H_
