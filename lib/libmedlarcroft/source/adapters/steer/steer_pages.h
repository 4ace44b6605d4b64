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

/// @brief steerd's pages for operators: status, explain, health, metrics.
class SteerPages {
 public:
  struct Parts {
    SteerCore& core;
    const catalogue::CatalogueReplica& replica;
    const catalogue::PlatformRateLimiter& budget;
    const ports::Clock& clock;
    std::function<std::string()> metrics;  ///< Prometheus text.
  };

  explicit SteerPages(Parts parts) : parts_(std::move(parts)) {}

  /// @return the page, or nullopt when there is none at that path.
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

  const Parts parts_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_STEER_PAGES_H_
