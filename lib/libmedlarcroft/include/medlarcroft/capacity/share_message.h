#ifndef MEDLARCROFT_CAPACITY_SHARE_MESSAGE_H_
#define MEDLARCROFT_CAPACITY_SHARE_MESSAGE_H_

#include <cstdint>
#include <string>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::capacity {

/// @brief Requests, renews or returns a loan. The fields match the peer
/// protocol.
struct ShareRequest {
  HostName borrower;
  std::uint64_t incarnation = 0;
  std::uint64_t request_id = 0;
  std::string limit_name;
  std::uint32_t amount = 0;
};

/// @brief Answer to one request. Amount 0: nothing was lent, or not renewed.
struct ShareGrant {
  std::uint64_t request_id = 0;
  std::uint32_t amount = 0;
  Duration lease{};
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SHARE_MESSAGE_H_
