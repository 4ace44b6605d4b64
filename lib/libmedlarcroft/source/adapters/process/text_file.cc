#include "adapters/process/text_file.h"

#include <fstream>
#include <iterator>

namespace medlarcroft::adapters {

std::optional<std::string> ReadTextFile(const std::string& path) {
  if (path.empty()) {
    return std::string();
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace medlarcroft::adapters
