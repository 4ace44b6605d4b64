#ifndef MEDLARCROFT_CATALOGUE_ENTRY_SCHEMA_H_
#define MEDLARCROFT_CATALOGUE_ENTRY_SCHEMA_H_

#include <array>
#include <string_view>
#include <tuple>
#include <type_traits>

#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/catalogue/json_schema.h"

/// @file
/// @brief JSON schemas and limits of all kinds of entries.

namespace medlarcroft::catalogue::schema {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxReasonLength = 500;
constexpr std::size_t kMaxBrands = 1000;
/// Enough for 260 sites with about 20 targets each.
constexpr std::size_t kMaxTargets = 5000;
constexpr std::int64_t kMaxDeadlineMs = std::int64_t{24} * 3600 * 1000;
constexpr std::int64_t kMaxQueueMs = 60'000;
constexpr std::int64_t kMaxLatencyMs = 10'000;
constexpr std::int64_t kMaxWindowMs = 3600 * 1000;
constexpr std::int64_t kMaxBodyBytes = std::int64_t{64} * 1024 * 1024;
constexpr std::int64_t kMaxLookupTtlMs = 300'000;
constexpr std::int64_t kMaxServiceTimeUs = 600'000'000;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRate = 1e9;

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kMicrosecond = std::chrono::microseconds(1);

bool IsName(std::string_view text);
bool IsSocketAddress(std::string_view text);
bool IsReason(std::string_view text);

constexpr TextRule kNameRule{
    &IsName,
    "1 to 128 letters, digits, '.', '_', '-', first a letter or digit"};
constexpr TextRule kAddressRule{&IsSocketAddress,
                                "IP:port, for example 127.0.0.1:80"};
constexpr TextRule kReasonRule{&IsReason, "at most 500 bytes of text"};

constexpr std::array<std::string_view, 3> kKeyModes{"none", "local", "durable"};
constexpr std::array<std::string_view, 3> kDrainSubjects{"host", "target",
                                                         "failure-domain"};

inline constexpr auto kRequestClass = std::make_tuple(
    TextField{"name", &RequestClass::name, kNameRule},
    ChoiceField<RequestClass, KeyMode>{"key_mode", &RequestClass::key_mode,
                                       kKeyModes},
    DurationField{"deadline_ms", &RequestClass::deadline, kMillisecond, 1,
                  kMaxDeadlineMs},
    DurationField{"queue_limit_ms", &RequestClass::queue_limit, kMillisecond, 0,
                  kMaxQueueMs},
    CountField{"max_request_bytes", &RequestClass::max_request_bytes, 0,
               kMaxBodyBytes},
    CountField{"max_answer_bytes", &RequestClass::max_answer_bytes, 1,
               kMaxBodyBytes},
    FlagField{"may_hedge", &RequestClass::may_hedge},
    DurationField{"expected_service_time_us",
                  &RequestClass::expected_service_time, kMicrosecond, 1,
                  kMaxServiceTimeUs});

inline constexpr auto kWeights = std::make_tuple(
    RealField{"latency", &ObjectiveWeights::latency, 0, kMaxWeight},
    RealField{"headroom", &ObjectiveWeights::headroom, 0, kMaxWeight},
    RealField{"drain_time", &ObjectiveWeights::drain_time, 0, kMaxWeight});

inline constexpr auto kBrandShare =
    std::make_tuple(TextField{"brand", &BrandShare::brand, kNameRule},
                    RealField{"weight", &BrandShare::weight, 0, kMaxWeight});

inline constexpr auto kTarget = std::make_tuple(
    TextField{"name", &TargetSpec::name, kNameRule},
    TextField{"failure_domain", &TargetSpec::failure_domain, kNameRule},
    TextField{"address", &TargetSpec::address, kAddressRule},
    CountField{"slots", &TargetSpec::slots, 1, 100'000, true},
    CountField{"max_connections", &TargetSpec::max_connections, 1, 100'000});

inline constexpr auto kService = std::make_tuple(
    TextField{"service", &ServiceEntry::service, kNameRule},
    ObjectField{"request_class", &ServiceEntry::request_class, kRequestClass,
                true},
    ObjectField{"weights", &ServiceEntry::weights, kWeights},
    ListField{"brands", &ServiceEntry::brands, kBrandShare, kMaxBrands, true},
    ListField{"targets", &ServiceEntry::targets, kTarget, kMaxTargets, true},
    DurationField{"lookup_ttl_ms", &ServiceEntry::lookup_ttl, kMillisecond, 100,
                  kMaxLookupTtlMs},
    RealField{"reserved_headroom", &ServiceEntry::reserved_headroom, 0, 1});

inline constexpr auto kFailureDomain = std::make_tuple(
    TextField{"failure_domain", &FailureDomainEntry::failure_domain, kNameRule},
    TextField{"region", &FailureDomainEntry::region, kNameRule},
    CountField{"seats", &FailureDomainEntry::seats, 1, 1000, true},
    DurationField{"client_latency_us", &FailureDomainEntry::client_latency,
                  kMicrosecond, 0, kMaxLatencyMs * 1000});

inline constexpr auto kLink = std::make_tuple(
    TextField{"from", &LinkEntry::from, kNameRule},
    TextField{"to", &LinkEntry::to, kNameRule},
    DurationField{"latency_us", &LinkEntry::latency, kMicrosecond, 0,
                  kMaxLatencyMs * 1000, true},
    RealField{"capacity", &LinkEntry::capacity, 0, kMaxRate, true},
    RealField{"shift_step", &LinkEntry::shift_step, 0, kMaxRate, true},
    DurationField{"shift_window_ms", &LinkEntry::shift_window, kMillisecond,
                  100, kMaxWindowMs, true});

inline constexpr auto kDrain = std::make_tuple(
    ChoiceField<DrainEntry, DrainSubject>{"subject", &DrainEntry::subject,
                                          kDrainSubjects},
    TextField{"name", &DrainEntry::name, kNameRule},
    TextField{"reason", &DrainEntry::reason, kReasonRule, false});

/// @return the schema of this type of body.
template <typename Body>
constexpr const auto& SchemaOf() {
  if constexpr (std::is_same_v<Body, ServiceEntry>) {
    return kService;
  } else if constexpr (std::is_same_v<Body, FailureDomainEntry>) {
    return kFailureDomain;
  } else if constexpr (std::is_same_v<Body, LinkEntry>) {
    return kLink;
  } else {
    static_assert(std::is_same_v<Body, DrainEntry>);
    return kDrain;
  }
}

}  // namespace medlarcroft::catalogue::schema

#endif  // MEDLARCROFT_CATALOGUE_ENTRY_SCHEMA_H_
