#ifndef MEDLARCROFT_STEERING_LOOKUP_ANSWER_H_
#define MEDLARCROFT_STEERING_LOOKUP_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::steering {

/// @brief A caller's look-up request.
struct LookupRequest {
  ServiceName service;
  BrandName brand;
  /// The domain nearest to the caller according to the block map; if absent,
  /// the domain of the host that answers is used.
  std::optional<FailureDomainName> nearest;
};

/// @brief Why an answer lists its first domain first.
enum class LookupRule {
  kHome,           ///< The nearest domain has serving hosts.
  kMovedByDrain,   ///< It is drained; the shift plan moves this caller.
  kHomeLost,       ///< The nearest domain has no host that is alive.
  kHomeReturning,  ///< It has one again, but this caller does not return yet.
  kLastResort,     ///< No host in any domain is known to be alive.
};

[[nodiscard]] std::string_view ToString(LookupRule rule);

/// @brief One entry host in an answer.
struct LookupHost {
  HostName host;
  std::string address;
  FailureDomainName failure_domain;
  /// Relative weight among the hosts of the answer's first domain. A host with
  /// weight 0 is to be tried only after all hosts with a higher weight have
  /// failed.
  double weight = 0.0;
};

/// @brief The answer to one look-up.
struct LookupAnswer {
  std::uint64_t revision = 0;
  Duration ttl = Duration::zero();
  LookupRule rule = LookupRule::kHome;
  FailureDomainName first_domain;
  std::vector<LookupHost> entry_hosts;  ///< In order of preference; not empty.
};

enum class LookupError {
  kUnknownService,  ///< The catalogue has no such service.
  kUnknownBrand,    ///< The service lists its brands and this is not one.
  kNoEntryHost,     ///< Every known host is leaving or dead, or none is known.
};

[[nodiscard]] std::string_view ToString(LookupError error);

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_LOOKUP_ANSWER_H_
