#ifndef MEDLARCROFT_REQUEST_PATH_RESPONSE_ATTRIBUTION_H_
#define MEDLARCROFT_REQUEST_PATH_RESPONSE_ATTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace medlarcroft::request_path {

/// @brief Which request a response names.
enum class ResponseName {
  kOwn,      ///< The one that was sent last on its connection.
  kOther,    ///< Another one.
  kUnnamed,  ///< None.
};

/// @brief Decides for one connection to a target which response answers which
/// request, without I/O.
///
/// A target may send a response twice, late, or one that answers nothing, and
/// refusals may name no request. If such a response counted as the one to the
/// request that waits, a caller would be told that its request did not run,
/// while it runs. A response is therefore the one to the request sent last only
/// if
/// - it names that request, and no failure that named it came on the connection
///   before, or
/// - it is the first response on the connection, which has carried no other
///   request.
///
/// All others belong to no request that waits. The connection carries no
/// further request after a response that names another one or none, since its
/// next response could not be told apart.
class ResponseAttribution {
 public:
  /// @return whether a response to a request with this ID could be told from
  /// all that the connection may still bring.
  [[nodiscard]] bool MayCarry(std::string_view id) const;
  /// @brief A request is sent.
  /// @param id as a response may name it; empty: none.
  void OnSent(std::string_view id);
  /// @brief A complete final response arrives.
  /// @param is_failure whether the request may be sent again after it.
  /// @return whether it is the response to the request that was sent last.
  [[nodiscard]] bool OnResponse(ResponseName name, bool is_failure);
  /// @return whether the connection may carry another request once the one that
  /// was sent last has its response.
  [[nodiscard]] bool IsReusable() const { return is_reusable_; }

  [[nodiscard]] bool IsReused() const { return sent_ > 1; }
  [[nodiscard]] std::uint32_t Responses() const { return responses_; }

 private:
  /// Failures are rare; a connection that brings more of them than this ends,
  /// so that it need not remember more.
  static constexpr std::size_t kMaxFailedIds = 32;

  std::uint32_t sent_ = 0;
  std::uint32_t responses_ = 0;
  bool is_reusable_ = true;
  std::size_t last_id_ = 0;
  /// Hashes of the IDs to which a failure came. Equal hashes of different IDs
  /// only cost a connection.
  std::vector<std::size_t> failed_ids_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_RESPONSE_ATTRIBUTION_H_
