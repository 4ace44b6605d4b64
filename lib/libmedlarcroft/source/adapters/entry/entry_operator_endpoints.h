#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_OPERATOR_ENDPOINTS_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_OPERATOR_ENDPOINTS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/entry/entry_handler.h"
#include "adapters/entry/idempotency_guard.h"
#include "adapters/entry/request_engine.h"
#include "adapters/entry/routing_synchronizer.h"
#include "adapters/http/page_table.h"
#include "medlarcroft/capacity/capacity_manager.h"

namespace medlarcroft::adapters {

/// @brief HTTP endpoints of entryd for operators: status, explain, health and
/// metrics.
class EntryOperatorEndpoints final : public EntryHandler::OperatorEndpoints {
 public:
  struct Dependencies {
    HostName host;
    const RequestEngine& engine;
    const IdempotencyGuard& keys;
    const RoutingSynchronizer& routing_synchronizer;
    const capacity::CapacityManager& capacity;
    std::function<std::string()> metrics;  ///< Prometheus text.
  };

  explicit EntryOperatorEndpoints(Dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  std::optional<HttpResponse> Find(const HttpRequest& request) override;

 private:
  static const Page<EntryOperatorEndpoints> kEndpoints[];

  [[nodiscard]] HttpResponse Health(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Readiness(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Status(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Explain(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Metrics(const HttpRequest& request) const;

  [[nodiscard]] std::vector<std::string> ReasonsNotReady() const;

  const Dependencies dependencies_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_OPERATOR_ENDPOINTS_H_
