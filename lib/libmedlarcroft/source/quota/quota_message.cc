#include "medlarcroft/quota/quota_message.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "medlarcroft/core/little_endian.h"

namespace medlarcroft::quota {

namespace {

constexpr std::size_t kNumberBytes = 4;
constexpr std::size_t kTokenBytes = 2;
constexpr std::size_t kIncarnationBytes = 2;
constexpr std::size_t kIssuerTimeBytes = kIncarnationBytes + 8;
constexpr std::size_t kDurationBytes = 2;
constexpr std::size_t kDelegationBytes =
    kIssuerTimeBytes + kNumberBytes + kDurationBytes;
constexpr std::size_t kAccountBytes = 8;
constexpr std::size_t kTokenCountBytes = kAccountBytes + kTokenBytes;
constexpr std::uint32_t kTransferFlag = 1;
constexpr std::uint32_t kDelegationFlag = 2;
constexpr unsigned kNumberBits = 32;

void AppendWide(std::string& text, std::uint64_t number) {
  AppendLittleEndian(text, static_cast<std::uint32_t>(number), kNumberBytes);
  AppendLittleEndian(text, static_cast<std::uint32_t>(number >> kNumberBits),
                     kNumberBytes);
}

std::uint64_t TakeWide(std::string_view& bytes) {
  const std::uint64_t low = TakeLittleEndian(bytes, kNumberBytes);
  const std::uint64_t high = TakeLittleEndian(bytes, kNumberBytes);
  return (high << kNumberBits) | low;
}

// In whole milliseconds, rounded down.
void AppendDuration(std::string& text, Duration duration) {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint16_t>::max();
  AppendLittleEndian(text,
                     static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                         ToMilliseconds(duration), 0, kMax)),
                     kDurationBytes);
}

Duration TakeDuration(std::string_view& bytes) {
  return std::chrono::milliseconds(TakeLittleEndian(bytes, kDurationBytes));
}

void AppendTime(std::string& text, const IssuerTime& time) {
  AppendLittleEndian(text, time.incarnation, kIncarnationBytes);
  AppendWide(text, time.nanoseconds);
}

IssuerTime TakeTime(std::string_view& bytes) {
  IssuerTime time;
  time.incarnation =
      static_cast<std::uint16_t>(TakeLittleEndian(bytes, kIncarnationBytes));
  time.nanoseconds = TakeWide(bytes);
  return time;
}

void AppendCounts(std::string& text, const std::vector<TokenCount>& counts) {
  for (const TokenCount& count : counts) {
    AppendWide(text, static_cast<std::uint64_t>(count.account));
    AppendLittleEndian(text, count.tokens, kTokenBytes);
  }
}

std::vector<TokenCount> TakeCounts(std::string_view bytes) {
  std::vector<TokenCount> counts;
  counts.reserve(bytes.size() / kTokenCountBytes);
  while (!bytes.empty()) {
    const AccountNumber account{TakeWide(bytes)};
    counts.push_back({.account = account,
                      .tokens = static_cast<std::uint16_t>(
                          TakeLittleEndian(bytes, kTokenBytes))});
  }
  return counts;
}

}  // namespace

AccountNumber NumberOf(const ClientAccountName& account) {
  return AccountNumber{
      XXH3_64bits(account.Value().data(), account.Value().size())};
}

std::string EncodeTokenRequest(const TokenRequest& request) {
  std::string text;
  AppendLittleEndian(text, request.number, kNumberBytes);
  AppendLittleEndian(text,
                     (request.is_transfer ? kTransferFlag : 0) |
                         (request.delegation ? kDelegationFlag : 0),
                     1);
  if (request.delegation) {
    AppendTime(text, request.delegation->since);
    AppendLittleEndian(text, request.delegation->hosts, kNumberBytes);
    AppendDuration(text, request.delegation->unused);
  }
  AppendCounts(text, request.wanted);
  return text;
}

std::optional<TokenRequest> DecodeTokenRequest(std::string_view bytes) {
  if (bytes.size() < kNumberBytes + 1) {
    return std::nullopt;
  }
  TokenRequest request;
  request.number = TakeLittleEndian(bytes, kNumberBytes);
  const std::uint32_t flags = TakeLittleEndian(bytes, 1);
  request.is_transfer = (flags & kTransferFlag) != 0;
  if ((flags & kDelegationFlag) != 0) {
    if (bytes.size() < kDelegationBytes) {
      return std::nullopt;
    }
    Delegation delegation;
    delegation.since = TakeTime(bytes);
    delegation.hosts = TakeLittleEndian(bytes, kNumberBytes);
    delegation.unused = TakeDuration(bytes);
    request.delegation = delegation;
  }
  if (bytes.size() % kTokenCountBytes != 0) {
    return std::nullopt;
  }
  request.wanted = TakeCounts(bytes);
  return request;
}

std::string EncodeTokenAnswer(const TokenAnswer& answer) {
  std::string text;
  AppendLittleEndian(text, answer.number, kNumberBytes);
  AppendTime(text, answer.time);
  AppendLittleEndian(text, answer.issuer, kNumberBytes);
  AppendDuration(text, answer.unused);
  AppendCounts(text, answer.granted);
  return text;
}

std::optional<TokenAnswer> DecodeTokenAnswer(std::string_view bytes) {
  constexpr std::size_t kFixedBytes =
      kNumberBytes + kIssuerTimeBytes + kNumberBytes + kDurationBytes;
  if (bytes.size() < kFixedBytes ||
      (bytes.size() - kFixedBytes) % kTokenCountBytes != 0) {
    return std::nullopt;
  }
  TokenAnswer answer;
  answer.number = TakeLittleEndian(bytes, kNumberBytes);
  answer.time = TakeTime(bytes);
  answer.issuer = TakeLittleEndian(bytes, kNumberBytes);
  answer.unused = TakeDuration(bytes);
  answer.granted = TakeCounts(bytes);
  return answer;
}

}  // namespace medlarcroft::quota
