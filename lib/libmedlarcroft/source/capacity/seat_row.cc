#include "medlarcroft/capacity/seat_row.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace medlarcroft::capacity {

std::string EncodeSeatRow(const SeatRow& row) {
  const nlohmann::json json = {{"host", row.owner.host.Value()},
                               {"incarnation", row.owner.incarnation},
                               {"epoch", row.epoch},
                               {"adopted_revision", row.adopted_revision}};
  return json.dump();
}

std::optional<SeatRow> DecodeSeatRow(std::string_view text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto host = json.find("host");
  if (host == json.end() || !host->is_string()) {
    return std::nullopt;
  }
  for (const char* const name : {"incarnation", "epoch", "adopted_revision"}) {
    const auto number = json.find(name);
    if (number == json.end() || !number->is_number_unsigned()) {
      return std::nullopt;
    }
  }
  return SeatRow{
      .owner = {.host = HostName(host->get<std::string>()),
                .incarnation = json["incarnation"].get<std::uint64_t>()},
      .epoch = json["epoch"].get<std::uint64_t>(),
      .adopted_revision = json["adopted_revision"].get<std::uint64_t>()};
}

std::string SeatRowKey(const FailureDomainName& failure_domain,
                       std::uint32_t seat) {
  std::array<char, 12> number{};
  std::snprintf(number.data(), number.size(), "%05u", seat);
  return "seat/" + failure_domain.Value() + "/" + number.data();
}

}  // namespace medlarcroft::capacity
