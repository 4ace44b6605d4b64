#include "medlarcroft/capacity/seat_table.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace medlarcroft::capacity {

namespace {

/// More than the planned 52 hosts per domain.
constexpr std::size_t kMaxSeatRows = 256;

std::optional<std::uint32_t> ParseSeatNumber(std::string_view key) {
  const std::string_view number = key.substr(key.rfind('/') + 1);
  std::uint32_t seat = 0;
  const auto read =
      std::from_chars(number.data(), number.data() + number.size(), seat);
  return read.ec == std::errc() ? std::optional(seat) : std::nullopt;
}

}  // namespace

std::optional<std::uint64_t> CommonRevision(const SeatSnapshots& snapshots) {
  std::optional<std::uint64_t> common;
  for (const SeatSnapshot& entry : snapshots) {
    if (!entry.is_readable) {
      return std::nullopt;
    }
    if (!entry.IsTaken()) {
      continue;
    }
    if (common && *common != entry.row.adopted_revision) {
      return std::nullopt;
    }
    common = entry.row.adopted_revision;
  }
  return common;
}

bool IsAnyTaken(const SeatSnapshots& snapshots) {
  return std::ranges::any_of(snapshots, [](const SeatSnapshot& entry) {
    return !entry.is_readable || entry.IsTaken();
  });
}

SeatTable::SeatTable(FailureDomainName failure_domain, ports::TableStore& store)
    : failure_domain_(std::move(failure_domain)), store_(store) {}

std::optional<SeatSnapshots> SeatTable::Read(std::uint32_t seats) {
  const std::string first = SeatRowKey(failure_domain_, 0);
  const std::string prefix = first.substr(0, first.rfind('/') + 1);
  const auto rows = store_.Scan(prefix, prefix + "~", kMaxSeatRows);
  if (!IsOk(rows)) {
    return std::nullopt;
  }
  SeatSnapshots snapshots(seats);
  for (std::uint32_t seat = 0; seat < seats; ++seat) {
    snapshots[seat].seat = seat;
  }
  for (const ports::Row& row : ValueOf(rows)) {
    const auto seat = ParseSeatNumber(row.key);
    if (!seat) {
      continue;
    }
    if (*seat >= seats) {
      snapshots.push_back({.seat = *seat});
    }
    SeatSnapshot& entry = *seat >= seats ? snapshots.back() : snapshots[*seat];
    const auto value = DecodeSeatRow(row.value);
    entry.version = row.version;
    entry.is_readable = value.has_value();
    entry.row = value.value_or(SeatRow{});
  }
  return snapshots;
}

ports::Transaction SeatTable::WriteIf(const SeatSnapshots& conditions,
                                      std::uint32_t seat,
                                      const SeatRow& row) const {
  ports::Transaction transaction;
  for (const SeatSnapshot& entry : conditions) {
    transaction.conditions.push_back(
        {.key = SeatRowKey(failure_domain_, entry.seat),
         .version = entry.version});
  }
  transaction.writes.push_back(
      {.key = SeatRowKey(failure_domain_, seat), .value = EncodeSeatRow(row)});
  return transaction;
}

}  // namespace medlarcroft::capacity
