#ifndef MEDLARCROFT_ADAPTERS_HTTP_HTTP_MESSAGE_H_
#define MEDLARCROFT_ADAPTERS_HTTP_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarcroft::adapters {

class MemoryLease;

/// @brief One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// @brief Header fields in the order received; names are case-insensitive.
class HttpHeaders {
 public:
  HttpHeaders() = default;
  HttpHeaders(std::initializer_list<HttpHeader> fields) : fields_(fields) {}

  void Add(std::string_view name, std::string_view value);
  /// @brief Replaces all fields of that name with one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);

  /// @return the first field of that name, or nullopt.
  [[nodiscard]] std::optional<std::string_view> Find(
      std::string_view name) const;
  [[nodiscard]] const std::vector<HttpHeader>& Fields() const {
    return fields_;
  }

 private:
  std::vector<HttpHeader> fields_;
};

/// @brief A request as received by a server, including its body.
struct HttpRequest {
  std::string method;
  std::string path;        ///< Percent-decoded, without the query.
  std::string raw_target;  ///< Path and query as sent.
  std::map<std::string, std::string, std::less<>> query;
  HttpHeaders headers;
  std::string body;
  /// Of the body, bytes that are held apart and follow `body`.
  std::size_t body_apart = 0;
  std::string peer_address;  ///< IP address of the client.
  /// Number of the connection on its listener, from 1 in the order of
  /// acceptance.
  std::uint64_t connection_id = 0;
  /// What the body takes of the process's memory account; unset: not counted.
  std::shared_ptr<MemoryLease> lease;

  /// @return the query parameter, or nullopt.
  [[nodiscard]] std::optional<std::string_view> FindQuery(
      std::string_view name) const;
};

/// @brief A response; the server sets Content-Length.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /// Bytes announced beyond `body` and never sent: the connection is closed
  /// after `body`, as a client sees it when a server crashes while it responds.
  /// Set only by the test stand-ins.
  std::size_t missing_bytes = 0;
  /// What the body takes of the process's memory account; unset: not counted.
  std::shared_ptr<MemoryLease> lease;
};

/// @return the names in the Connection headers: fields that concern only the
/// connection on which they came.
[[nodiscard]] std::vector<std::string> HeadersNamedByConnection(
    const HttpHeaders& headers);

/// @return whether two header names are equal, ignoring case.
[[nodiscard]] bool IsSameHeaderName(std::string_view left,
                                    std::string_view right);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_HTTP_MESSAGE_H_
