#include "medlarcroft/steering/lookup_answer.h"

namespace medlarcroft::steering {

std::string_view ToString(LookupRule rule) {
  constexpr std::string_view kNames[] = {"home", "moved-by-drain", "home-lost",
                                         "home-returning", "last-resort"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::string_view ToString(LookupError error) {
  constexpr std::string_view kNames[] = {"unknown-service", "unknown-brand",
                                         "no-entry-host"};
  return kNames[static_cast<std::size_t>(error)];
}

}  // namespace medlarcroft::steering
