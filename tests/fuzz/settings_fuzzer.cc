// Settings files are written by people and tools: any input gives settings or
// errors that name a location, and never crashes.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "adapters/load/load_plan_schema.h"
#include "adapters/process/entryd_settings.h"
#include "adapters/process/node_settings.h"
#include "adapters/process/settings_document.h"
#include "adapters/process/steerd_settings.h"

namespace medlarcroft::adapters {
namespace {

template <typename Settings>
void Check(const SettingsSchema<Settings>& schema, std::string_view text) {
  const auto result = ParseSettings(schema, text, "fuzz.yaml");
  if (IsOk(result)) {
    (void)FormatSettings(schema, ValueOf(result));
    return;
  }
  for (const SettingsError& fault : ErrorOf(result)) {
    if (FormatSettingsError(fault).empty() || fault.allowed.empty()) {
      std::abort();
    }
  }
}

}  // namespace
}  // namespace medlarcroft::adapters

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace adapters = medlarcroft::adapters;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  adapters::Check(adapters::SteerdSchema(), text);
  adapters::Check(adapters::EntrydSchema(), text);
  adapters::Check(adapters::NodeSchema(), text);
  adapters::Check(adapters::LoadPlanSchema(), text);
  return 0;
}
