#include "adapters/platform/platform_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/process/log.h"

namespace medlarcroft::adapters {

namespace {

using nlohmann::json;

constexpr std::string_view kEntryHostRole = "entry-host";
constexpr std::string_view kTargetRole = "target";

std::optional<std::string> DumpJson(const json& value) {
  try {
    return value.dump();
  } catch (const json::type_error&) {
    return std::nullopt;  // Not valid UTF-8.
  }
}

/// @return the result of `read` on the parsed body, or nullopt when the body is
/// no JSON, lacks a member or has a member of another type.
template <typename Value, typename Reader>
std::optional<Value> ParseWith(std::string_view body, Reader read) {
  try {
    return read(json::parse(body));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json ToJson(const ports::Row& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

ports::Row ToRow(const json& value) {
  return {.key = value.at("key").get<std::string>(),
          .value = value.at("value").get<std::string>(),
          .version = value.at("version").get<std::uint64_t>()};
}

json ToJson(const std::vector<ports::Row>& rows) {
  json list = json::array();
  for (const ports::Row& row : rows) {
    list.push_back(ToJson(row));
  }
  return list;
}

std::vector<ports::Row> ToRows(const json& list) {
  std::vector<ports::Row> rows;
  for (const json& row : list) {
    rows.push_back(ToRow(row));
  }
  return rows;
}

json ToJson(const ports::RowWrite& write) {
  const json value = write.value ? json(*write.value) : json(nullptr);
  return {{"key", write.key}, {"value", value}};
}

ports::RowWrite ToRowWrite(const json& value) {
  ports::RowWrite write{.key = value.at("key").get<std::string>(), .value = {}};
  if (!value.at("value").is_null()) {
    write.value = value.at("value").get<std::string>();
  }
  return write;
}

json ToJson(const ports::ListedHost& host) {
  const bool is_target = host.role == ports::ListedRole::kTarget;
  return {{"name", host.name},
          {"role", is_target ? kTargetRole : kEntryHostRole},
          {"failure_domain", host.failure_domain.Value()},
          {"address", host.address},
          {"is_leaving", host.is_leaving}};
}

ports::ListedHost ToListedHost(const json& value) {
  const bool is_target = value.at("role").get<std::string>() == kTargetRole;
  return {.name = value.at("name").get<std::string>(),
          .role = is_target ? ports::ListedRole::kTarget
                            : ports::ListedRole::kEntryHost,
          .failure_domain =
              FailureDomainName(value.at("failure_domain").get<std::string>()),
          .address = value.at("address").get<std::string>(),
          .is_leaving = value.value("is_leaving", false)};
}

/// @return nullopt for an entry that can't be read. One such entry must not
/// hide the others.
std::optional<ports::ListedHost> ReadListedHost(const json& value) {
  try {
    return ToListedHost(value);
  } catch (const json::exception&) {
    Log(LogLevel::kWarning, "listed-host-unreadable");
    return std::nullopt;
  }
}

}  // namespace

std::optional<std::string> FormatRow(const ports::Row& row) {
  return DumpJson(ToJson(row));
}

std::optional<ports::Row> ParseRow(std::string_view body) {
  return ParseWith<ports::Row>(body, &ToRow);
}

std::optional<std::string> FormatRows(const std::vector<ports::Row>& rows) {
  return DumpJson({{"rows", ToJson(rows)}});
}

std::optional<std::vector<ports::Row>> ParseRows(std::string_view body) {
  return ParseWith<std::vector<ports::Row>>(
      body, [](const json& value) { return ToRows(value.at("rows")); });
}

std::optional<std::string> FormatTransaction(
    const ports::Transaction& transaction) {
  json conditions = json::array();
  for (const ports::RowCondition& condition : transaction.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  json writes = json::array();
  for (const ports::RowWrite& write : transaction.writes) {
    writes.push_back(ToJson(write));
  }
  return DumpJson({{"conditions", conditions}, {"writes", writes}});
}

std::optional<ports::Transaction> ParseTransaction(std::string_view body) {
  return ParseWith<ports::Transaction>(body, [](const json& value) {
    ports::Transaction transaction;
    for (const json& condition : value.at("conditions")) {
      transaction.conditions.push_back(
          {.key = condition.at("key").get<std::string>(),
           .version = condition.at("version").get<std::uint64_t>()});
    }
    for (const json& write : value.at("writes")) {
      transaction.writes.push_back(ToRowWrite(write));
    }
    return transaction;
  });
}

std::optional<std::string> FormatOutcome(
    const ports::TransactionOutcome& outcome) {
  return DumpJson({{"committed", outcome.committed},
                   {"conflicting", ToJson(outcome.conflicting)}});
}

std::optional<ports::TransactionOutcome> ParseOutcome(std::string_view body) {
  return ParseWith<ports::TransactionOutcome>(body, [](const json& value) {
    return ports::TransactionOutcome{
        .committed = value.at("committed").get<bool>(),
        .conflicting = ToRows(value.at("conflicting"))};
  });
}

std::optional<std::string> FormatHosts(
    const std::vector<ports::ListedHost>& hosts) {
  json list = json::array();
  for (const ports::ListedHost& host : hosts) {
    list.push_back(ToJson(host));
  }
  return DumpJson({{"hosts", list}});
}

std::optional<std::vector<ports::ListedHost>> ParseHosts(
    std::string_view body) {
  return ParseWith<std::vector<ports::ListedHost>>(body, [](const json& value) {
    std::vector<ports::ListedHost> hosts;
    const json& items = value.at("hosts");
    for (const json& item : items) {
      if (auto host = ReadListedHost(item)) {
        hosts.push_back(std::move(*host));
      }
    }
    const bool is_unreadable = hosts.empty() && !items.empty();
    return is_unreadable ? std::nullopt : std::optional(std::move(hosts));
  });
}

bool IsNotDoneBody(std::string_view body) {
  const auto code = ParseWith<std::string>(body, [](const json& value) {
    return value.at("code").get<std::string>();
  });
  return code == kNotDoneCode;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreservedCharacters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (const char character : text) {
    if (kUnreservedCharacters.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 15U];
  }
  return encoded;
}

}  // namespace medlarcroft::adapters
