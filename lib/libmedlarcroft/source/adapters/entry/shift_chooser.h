#ifndef MEDLARCROFT_ADAPTERS_ENTRY_SHIFT_CHOOSER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_SHIFT_CHOOSER_H_

#include <mutex>
#include <optional>
#include <string>

#include "adapters/entry/routing_table.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/steering/shift_limiter.h"

namespace medlarcroft::adapters {

/// @brief Destination of one request that is sent to another failure domain.
struct ShiftChoice {
  FailureDomainName failure_domain;
  std::string entry_address;
};

/// @brief Selects the requests to send to other failure domains according to
/// the plan in the routes and within its rate limits. Safe to share between
/// threads.
class ShiftChooser {
 public:
  ShiftChooser(const ports::Clock& clock, ports::RandomSource& random);

  /// @param host_fraction this host's fraction of its failure domain's rates, 0
  /// to 1.
  void ApplyRoutes(const RoutingTable& routes, double host_fraction);

  /// @return destination of the next request of the service, or nullopt if it
  /// stays in this failure domain.
  [[nodiscard]] std::optional<ShiftChoice> Choose(const ServiceRoute& service);

  /// @brief Records whether the receiving side accepted a request.
  void OnAnswer(const ServiceName& service,
                const FailureDomainName& to,
                bool is_accepted);

 private:
  std::mutex mutex_;
  ports::RandomSource& random_;
  steering::ShiftLimiter limiter_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_SHIFT_CHOOSER_H_
