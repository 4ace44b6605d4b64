#ifndef MEDLARCROFT_ADAPTERS_PLATFORM_HTTP_PLATFORM_H_
#define MEDLARCROFT_ADAPTERS_PLATFORM_HTTP_PLATFORM_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/http/http_client.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/host_list.h"
#include "medlarcroft/ports/object_store.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::adapters {

/// @brief Client of the platform's table service, object store and host list,
/// over HTTP with JSON bodies. Thread-safe. Each call blocks for at most the
/// timeout, so none may be made while a request waits for it.
class HttpPlatform final : public ports::TableStore,
                           public ports::ObjectStore,
                           public ports::HostList {
 public:
  struct Options {
    std::string base_url;  ///< For example "http://127.0.0.1:7000".
    Duration timeout = std::chrono::seconds(2);
    std::string ca_file;  ///< Trusted CAs for https; empty: the system's.
    /// Limits the memory for a page of rows or an object.
    std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
  };

  explicit HttpPlatform(Options options);

  [[nodiscard]] Result<ports::Row, ports::StoreFailure> Read(
      std::string_view key) override;
  [[nodiscard]] Result<std::vector<ports::Row>, ports::StoreFailure> Scan(
      std::string_view first,
      std::string_view last,
      std::size_t limit) override;
  [[nodiscard]] Result<ports::TransactionOutcome, ports::StoreFailure> Commit(
      const ports::Transaction& transaction) override;

  [[nodiscard]] Result<std::optional<std::string>, ports::StoreFailure> Get(
      std::string_view name) override;
  [[nodiscard]] Result<Success, ports::StoreFailure> Put(
      std::string_view name,
      std::string_view bytes) override;

  [[nodiscard]] Result<std::vector<ports::ListedHost>, ports::StoreFailure>
  List() override;

 private:
  [[nodiscard]] ClientRequest MakeRequest(std::string method,
                                          const std::string& path) const;
  [[nodiscard]] Result<ClientResponse, ports::StoreFailure> Send(
      ClientRequest request);

  const Options options_;
  HttpClient client_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PLATFORM_HTTP_PLATFORM_H_
