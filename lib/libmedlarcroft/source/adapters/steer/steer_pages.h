#ifndef MEDLARCROFT_ADAPTERS_STEER_STEER_PAGES_H_
#define MEDLARCROFT_ADAPTERS_STEER_STEER_PAGES_H_

#include <functional>
#include <optional>
#include <string>

#include "adapters/http/http_message.h"
#include "adapters/http/page_table.h"
#include "adapters/steer/steer_core.h"
#include "medlarcroft/catalogue/catalogue_replica.h"
#include "medlarcroft/catalogue/platform_rate_limiter.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::adapters {

/// @brief steerd's HTTP pages for operators: health, readiness, status, explain
/// and metrics.
class SteerPages {
 public:
  struct Dependencies {
    SteerCore& core;
    const catalogue::CatalogueReplica& replica;
    const catalogue::PlatformRateLimiter& budget;
    const ports::Clock& clock;
    std::function<std::string()> metrics;  ///< Prometheus text.
  };

  explicit SteerPages(Dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// @return the page, or nullopt when there is none at the requested path.
  [[nodiscard]] std::optional<HttpResponse> Find(
      const HttpRequest& request) const;

 private:
  static const Page<SteerPages> kPages[];

  [[nodiscard]] HttpResponse Health(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Readiness(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Status(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Explain(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Metrics(const HttpRequest& request) const;

  [[nodiscard]] std::vector<std::string> ReasonsNotReady() const;

  const Dependencies dependencies_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_STEER_PAGES_H_
