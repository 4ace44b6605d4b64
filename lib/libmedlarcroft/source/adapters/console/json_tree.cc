#include "adapters/console/json_tree.h"

#include <algorithm>
#include <ostream>
#include <string>

namespace medlarcroft::adapters {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kIndent = 2;

bool IsScalarOrEmpty(const Json& value) {
  return !value.is_structured() || value.empty();
}

bool IsScalarList(const Json& value) {
  return value.is_array() &&
         std::all_of(value.begin(), value.end(), &IsScalarOrEmpty);
}

std::string FormatScalar(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string FormatScalarList(const Json& list) {
  std::string line;
  for (const Json& item : list) {
    line += (line.empty() ? "" : ", ") + FormatScalar(item);
  }
  return line;
}

void PrintChildren(const Json& value, std::size_t depth, std::ostream& out);

void PrintMember(const std::string& label,
                 const Json& value,
                 std::size_t depth,
                 std::ostream& out) {
  out << std::string(depth * kIndent, ' ') << label;
  if (IsScalarOrEmpty(value)) {
    out << ' ' << FormatScalar(value) << '\n';
  } else if (IsScalarList(value)) {
    out << ' ' << FormatScalarList(value) << '\n';
  } else {
    out << '\n';
    PrintChildren(value, depth + 1, out);
  }
}

void PrintChildren(const Json& value, std::size_t depth, std::ostream& out) {
  if (value.is_array()) {
    for (const Json& item : value) {
      PrintMember("-", item, depth, out);
    }
    return;
  }
  for (const auto& [key, member] : value.items()) {
    PrintMember(key + ":", member, depth, out);
  }
}

}  // namespace

void PrintJsonTree(const Json& value, std::ostream& out) {
  if (IsScalarOrEmpty(value)) {
    out << FormatScalar(value) << '\n';
    return;
  }
  PrintChildren(value, 0, out);
}

}  // namespace medlarcroft::adapters
