// The load tool parses responses of a system under test, which may be
// malformed: any input gives a verdict and never crashes.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "adapters/load/deployment_file.h"
#include "adapters/load/target_probe.h"
#include "medlarcroft/load_generator/load_report.h"
#include "medlarcroft/load_generator/lookup_cache.h"
#include "medlarcroft/load_generator/response_check.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace load = medlarcroft::load_generator;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)load::ParseLookupResponse(text);
  (void)load::ParseKeys(text);
  (void)load::ParseReportJson(text);
  (void)medlarcroft::adapters::ParseDeployment(text);
  (void)medlarcroft::adapters::ParseRunList(text);
  const load::ExchangeResult result{
      .status = 200,
      .headers = {{"medlar-outcome", "ran"},
                  {"retry-after", std::string(text.substr(0, 20))}},
      .body = std::string(text)};
  (void)load::CheckResponse(result, {.path_suffix = "x", .body_hash = "y"});
  (void)load::CauseOf(result);
  (void)load::RetryAfterOf(result);
  return 0;
}
