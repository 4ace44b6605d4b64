#ifndef MEDLARCROFT_PROGRAMS_NODE_LIMIT_SHARING_H_
#define MEDLARCROFT_PROGRAMS_NODE_LIMIT_SHARING_H_

#include "medlarcroft/request_path/rate_limits.h"
#include "medlarcroft/request_path/target_directory.h"
#include "medlarcroft/telemetry/metrics.h"
#include "peer_group.h"

namespace medlarcroft::node {

/// @brief Publishes the rate limits of targets to the other hosts, and logs
/// when a limit starts and ends.
class LimitSharing final : public request_path::LimitObserver {
 public:
  struct Parts {
    adapters::EventLoop& loop;
    request_path::RateLimits& limits;
    request_path::TargetDirectory& targets;
    PeerGroup& peers;
    telemetry::MetricsRegistry& metrics;
  };

  explicit LimitSharing(const Parts& parts);
  ~LimitSharing() override;
  LimitSharing(const LimitSharing&) = delete;
  LimitSharing& operator=(const LimitSharing&) = delete;

  void Start();

  void OnPublish(const request_path::LimitReport& report) override;
  void OnLimited(request_path::TargetNumber target,
                 double requests_per_second,
                 double own_rate) override;
  void OnLifted(request_path::TargetNumber target) override;

 private:
  [[nodiscard]] std::string NameOf(request_path::TargetNumber target) const;

  Parts parts_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_LIMIT_SHARING_H_
