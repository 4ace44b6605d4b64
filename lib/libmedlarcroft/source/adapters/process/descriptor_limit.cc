#include "adapters/process/descriptor_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace medlarcroft::adapters {

namespace {

// The most that one process can use, where the system sets no limit.
constexpr std::size_t kUnlimited = 1'000'000;
constexpr std::size_t kDefaultLimit = 1024;

}  // namespace

std::size_t MaxDescriptors(std::size_t configured) {
  rlimit limit{};
  std::size_t allowed = kDefaultLimit;
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    allowed =
        limit.rlim_cur == RLIM_INFINITY
            ? kUnlimited
            : std::min(kUnlimited, static_cast<std::size_t>(limit.rlim_cur));
  }
  return configured == 0 ? allowed : std::min(configured, allowed);
}

}  // namespace medlarcroft::adapters
