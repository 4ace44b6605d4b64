#include "medlarcroft/peer_updates/peer_update.h"

#include <algorithm>
#include <cmath>

#include "medlarcroft/core/little_endian.h"

namespace medlarcroft::peer_updates {

namespace {

using request_path::CrashReportKind;

constexpr std::size_t kNumberBytes = 4;
constexpr std::size_t kCrashBytesWithoutAge = 13;
constexpr std::int64_t kAgeUnitMilliseconds = 50;
constexpr std::int64_t kMaxAgeUnits = 255;
// Rates are encoded in thousandths of a request per second.
constexpr double kLimitScale = 1000;
// Keeps the encoded rate within 32 bits.
constexpr double kMaxRequestsPerSecond = 4e6;
constexpr unsigned kNumberBits = 32;
constexpr std::uint32_t kMaxRequests = 255;

}  // namespace

std::string EncodePlaced(const std::vector<PlacedObject>& placed) {
  std::string text;
  text.reserve(placed.size() * kPlacedBytes);
  for (const PlacedObject& item : placed) {
    AppendLittleEndian(text, static_cast<std::uint32_t>(item.target),
                       kNumberBytes);
    AppendLittleEndian(text, item.object.Value(), kNumberBytes);
  }
  return text;
}

std::string EncodeLoads(const std::vector<ReportedLoad>& loads) {
  std::string text;
  text.reserve(loads.size() * kLoadBytes);
  for (const ReportedLoad& load : loads) {
    AppendLittleEndian(text, static_cast<std::uint32_t>(load.target),
                       kNumberBytes);
    AppendLittleEndian(text, std::min(load.requests, kMaxRequests), 1);
  }
  return text;
}

std::string EncodeCrashes(
    const std::vector<request_path::CrashReport>& crashes) {
  std::string text;
  text.reserve(crashes.size() * kCrashBytesWithoutAge);
  for (const request_path::CrashReport& report : crashes) {
    const std::uint64_t request = report.request.Value();
    const bool is_blocked = report.kind == CrashReportKind::kBlocked;
    AppendLittleEndian(text, static_cast<std::uint32_t>(report.kind), 1);
    AppendLittleEndian(text, static_cast<std::uint32_t>(request), kNumberBytes);
    AppendLittleEndian(text, static_cast<std::uint32_t>(request >> kNumberBits),
                       kNumberBytes);
    AppendLittleEndian(text,
                       is_blocked
                           ? static_cast<std::uint32_t>(
                                 ToMilliseconds(report.blocked_for) / 1000)
                           : static_cast<std::uint32_t>(report.target),
                       kNumberBytes);
  }
  return text;
}

std::string EncodeCrashAges(
    const std::vector<request_path::CrashReport>& crashes) {
  std::string text;
  text.reserve(crashes.size());
  for (const request_path::CrashReport& report : crashes) {
    const std::int64_t units =
        (ToMilliseconds(report.age) + kAgeUnitMilliseconds / 2) /
        kAgeUnitMilliseconds;
    AppendLittleEndian(text,
                       static_cast<std::uint32_t>(
                           std::clamp<std::int64_t>(units, 0, kMaxAgeUnits)),
                       1);
  }
  return text;
}

bool ApplyCrashAges(std::string_view bytes,
                    std::vector<request_path::CrashReport>& crashes) {
  if (bytes.size() != crashes.size()) {
    return false;
  }
  for (request_path::CrashReport& report : crashes) {
    report.age = std::chrono::milliseconds(TakeLittleEndian(bytes, 1) *
                                           kAgeUnitMilliseconds);
  }
  return true;
}

std::string EncodeLimits(const std::vector<request_path::LimitReport>& limits) {
  std::string text;
  text.reserve(limits.size() * kLimitReportBytes);
  for (const request_path::LimitReport& report : limits) {
    const double limit =
        std::min(report.requests_per_second, kMaxRequestsPerSecond);
    const double scaled = std::ceil(limit * kLimitScale);
    AppendLittleEndian(text, static_cast<std::uint32_t>(report.target),
                       kNumberBytes);
    AppendLittleEndian(text, static_cast<std::uint32_t>(scaled), kNumberBytes);
  }
  return text;
}

std::optional<std::vector<request_path::LimitReport>> DecodeLimits(
    std::string_view bytes) {
  if (bytes.size() % kLimitReportBytes != 0) {
    return std::nullopt;
  }
  std::vector<request_path::LimitReport> limits;
  limits.reserve(bytes.size() / kLimitReportBytes);
  while (!bytes.empty()) {
    const request_path::TargetNumber target{
        TakeLittleEndian(bytes, kNumberBytes)};
    const double scaled = TakeLittleEndian(bytes, kNumberBytes);
    limits.push_back(
        {.target = target, .requests_per_second = scaled / kLimitScale});
  }
  return limits;
}

std::optional<std::vector<PlacedObject>> DecodePlaced(std::string_view bytes) {
  if (bytes.size() % kPlacedBytes != 0) {
    return std::nullopt;
  }
  std::vector<PlacedObject> placed;
  placed.reserve(bytes.size() / kPlacedBytes);
  while (!bytes.empty()) {
    const request_path::TargetNumber target{
        TakeLittleEndian(bytes, kNumberBytes)};
    placed.push_back({.target = target,
                      .object = request_path::ObjectKey::FromValue(
                          TakeLittleEndian(bytes, kNumberBytes))});
  }
  return placed;
}

std::optional<std::vector<ReportedLoad>> DecodeLoads(std::string_view bytes) {
  if (bytes.size() % kLoadBytes != 0) {
    return std::nullopt;
  }
  std::vector<ReportedLoad> loads;
  loads.reserve(bytes.size() / kLoadBytes);
  while (!bytes.empty()) {
    const request_path::TargetNumber target{
        TakeLittleEndian(bytes, kNumberBytes)};
    loads.push_back({.target = target, .requests = TakeLittleEndian(bytes, 1)});
  }
  return loads;
}

std::optional<std::vector<request_path::CrashReport>> DecodeCrashes(
    std::string_view bytes) {
  if (bytes.size() % kCrashBytesWithoutAge != 0) {
    return std::nullopt;
  }
  std::vector<request_path::CrashReport> crashes;
  crashes.reserve(bytes.size() / kCrashBytesWithoutAge);
  while (!bytes.empty()) {
    const std::uint32_t kind = TakeLittleEndian(bytes, 1);
    const std::uint64_t low = TakeLittleEndian(bytes, kNumberBytes);
    const std::uint64_t high = TakeLittleEndian(bytes, kNumberBytes);
    const std::uint32_t number = TakeLittleEndian(bytes, kNumberBytes);
    if (kind > static_cast<std::uint32_t>(CrashReportKind::kBlocked)) {
      return std::nullopt;
    }
    request_path::CrashReport report{
        .kind = static_cast<CrashReportKind>(kind),
        .request = request_path::RequestFingerprint::FromValue(
            (high << kNumberBits) | low)};
    if (report.kind == CrashReportKind::kBlocked) {
      report.blocked_for = std::chrono::seconds(number);
    } else {
      report.target = request_path::TargetNumber{number};
    }
    crashes.push_back(report);
  }
  return crashes;
}

}  // namespace medlarcroft::peer_updates
