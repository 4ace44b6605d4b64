#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_JSON_TREE_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_JSON_TREE_H_

#include <iosfwd>
#include <nlohmann/json.hpp>

namespace medlarcroft::adapters {

/// @brief Prints JSON as an indented tree with one value per line; an array of
/// scalars is printed on one line.
void PrintJsonTree(const nlohmann::ordered_json& value, std::ostream& out);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_JSON_TREE_H_
