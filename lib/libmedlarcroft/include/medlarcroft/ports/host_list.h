#ifndef MEDLARCROFT_PORTS_HOST_LIST_H_
#define MEDLARCROFT_PORTS_HOST_LIST_H_

#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::ports {

/// @brief What runs at a listed address.
enum class ListedRole { kEntryHost, kTarget };

/// @brief One entry of the platform's host list. The list lags: a host may have
/// stopped or restarted since.
struct ListedHost {
  std::string name;  ///< A `HostName` or a `TargetName`, by `role`.
  ListedRole role = ListedRole::kEntryHost;
  FailureDomainName failure_domain;
  std::string address;  ///< IP:port of the peer listener (entry host) or
                        ///< of the service (target).
  bool is_leaving = false;
};

/// @brief Client for the platform's list of live and leaving hosts, which lags.
class HostList {
 public:
  virtual ~HostList() = default;

  [[nodiscard]] virtual Result<std::vector<ListedHost>, StoreFailure>
  List() = 0;
};

}  // namespace medlarcroft::ports

#endif  // MEDLARCROFT_PORTS_HOST_LIST_H_
