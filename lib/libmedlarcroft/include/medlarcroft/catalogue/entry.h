#ifndef MEDLARCROFT_CATALOGUE_ENTRY_H_
#define MEDLARCROFT_CATALOGUE_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::catalogue {

/// @brief How duplicate execution is prevented for the idempotency keys of a
/// request class; fixed when a key is issued.
enum class KeyMode {
  kNone,     ///< The class is idempotent; no key is needed.
  kLocal,    ///< Only the issuing incarnation may dispatch; not stored.
  kDurable,  ///< A claim row is written before dispatch, which costs one
             ///< platform write.
};

/// @brief Limits and properties of a class of requests.
struct RequestClass {
  std::string name;  ///< For example "lookup", "order", "plan".
  KeyMode key_mode = KeyMode::kNone;
  Duration deadline =
      std::chrono::seconds(2);  ///< Used when the caller sets none.
  Duration queue_limit =
      std::chrono::milliseconds(200);  ///< Maximum wait for a slot.
  std::size_t max_request_bytes = 64 * 1024;
  std::size_t max_answer_bytes = 1024 * 1024;
  bool may_hedge = false;
  /// Initial estimate of the service time, used until measurements are
  /// available.
  Duration expected_service_time = std::chrono::milliseconds(20);

  [[nodiscard]] bool IsIdempotent() const { return key_mode == KeyMode::kNone; }
};

/// @brief Relative weights of the three objectives as set by the owner; each at
/// least 0.
struct ObjectiveWeights {
  double latency = 1.0;
  double headroom = 1.0;
  double drain_time = 1.0;
};

/// @brief A brand's share of a service's slots, relative to the other brands.
struct BrandShare {
  BrandName brand;
  double weight = 1.0;
};

/// @brief A target (back end) of a service.
struct TargetSpec {
  TargetName name;
  FailureDomainName failure_domain;
  std::string address;      ///< IP:port.
  std::uint32_t slots = 1;  ///< Maximum concurrent requests.
  std::uint32_t max_connections = 330;
};

/// @brief Entry of kind "service": a service with its targets, brands and
/// limits.
struct ServiceEntry {
  ServiceName service;
  RequestClass request_class;
  ObjectiveWeights weights;
  std::vector<BrandShare> brands;
  std::vector<TargetSpec> targets;
  Duration lookup_ttl =
      std::chrono::seconds(5);  ///< How long callers may cache a lookup.
  /// Fraction of a domain's slots that is kept free of work shifted in from
  /// other domains, 0 to 1.
  double reserved_headroom = 0.2;
};

/// @brief Entry of kind "failure-domain": a failure domain with its region and
/// number of seats.
struct FailureDomainEntry {
  FailureDomainName failure_domain;
  RegionName region;
  /// Number of shares into which the domain's limits are split; at least the
  /// number of entry hosts that it will have.
  std::uint32_t seats = 2;
  Duration client_latency = std::chrono::milliseconds(8);  ///< One way.
};

/// @brief Entry of kind "link": limits for shifting work from one failure
/// domain to another, in one direction.
struct LinkEntry {
  FailureDomainName from;
  FailureDomainName to;
  Duration latency = std::chrono::milliseconds(55);  ///< One way.
  double capacity = 100.0;  ///< Maximum requests per second.
  /// Maximum increase of the shifted load per `shift_window`, in requests per
  /// second.
  double shift_step = 10.0;
  Duration shift_window = std::chrono::seconds(10);
};

/// @brief Kind of object that a drain entry takes out of service.
enum class DrainSubject { kHost, kTarget, kFailureDomain };

/// @brief Entry of kind "drain": takes a host, target or failure domain out of
/// service for as long as the entry exists.
struct DrainEntry {
  DrainSubject subject = DrainSubject::kTarget;
  std::string name;  ///< A `HostName`, `TargetName` or `FailureDomainName`,
                     ///< depending on `subject`.
  std::string reason;
};

using EntryBody =
    std::variant<ServiceEntry, FailureDomainEntry, LinkEntry, DrainEntry>;

/// @brief A catalogue entry as accepted.
struct Entry {
  EntryName name;
  OwnerName owner;
  std::uint64_t version = 0;   ///< Number of accepted changes of this entry.
  std::uint64_t revision = 0;  ///< Catalogue revision of the last change.
  EntryBody body;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_ENTRY_H_
