#ifndef MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_LOOP_H_
#define MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_LOOP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/steering/lookup_demand_tracker.h"
#include "medlarcroft/steering/lookup_planner.h"
#include "medlarcroft/steering/shift_limiter.h"
#include "scenarios/steering/shift_policy.h"
#include "scenarios/steering/shift_scenario.h"

namespace medlarcroft::steering::scenario {

/// @brief Results of one run for callers and links.
struct Outcome {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t late = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t bounced = 0;  ///< Refused by the receiving failure domain.
  /// Highest number of forwards in any second above the capacity of the link.
  double peak_over_cap = 0.0;
  /// Forwarded requests that were admitted into the reserve of the receiver.
  std::uint64_t over_capacity = 0;
  /// Callers refused by a failure domain while it worked on shifted requests.
  std::uint64_t refused_at_receiver = 0;
  /// Highest growth of a link's planned rate within a window above its step.
  double peak_over_step = 0.0;
  int reversals = 0;  ///< Reversals of planned rates by over 5% of the link.
  double relief_seconds = 0.0;  ///< From the first event to the last refusal.
  double mean_utilisation_spread = 0.0;  ///< Highest minus lowest utilisation.
  double shifted_far = 0.0;  ///< Fraction of the forwards that left the region.
  double home_demand_left = 0.0;  ///< Requests of the last 5 s that still
                                  ///< arrived at or stayed in a drained domain.

  [[nodiscard]] double RefusedShare() const;
  [[nodiscard]] double LateShare() const;
};

///
/// @brief Simulates look-ups, planners, limiters and admission of all failure
/// domains in virtual time, request by request.
///
/// Each failure domain plans independently from its own view, as its entry
/// hosts do: its own measurements are current, those of others lag. A failure
/// domain acts as one host for forwarding. Ticks are 5 ms; service times are
/// exponential.
class ShiftLoop {
 public:
  ShiftLoop(const Scenario& scenario,
            const PolicyFactory& make_policy,
            std::uint64_t seed);
  Outcome Run();

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(5);
  static constexpr int kTicksPerSecond = 200;
  static constexpr int kPlanIntervalTicks = 100;
  static constexpr int kFirstPlanTick = 3 * kTicksPerSecond;
  static constexpr int kRingTicks = 4096;  // Also the longest service time.
  static constexpr int kCallerGroups = 40;

  struct Caller {
    std::size_t domain = 0;
    MonotonicTime expires;
  };
  struct Work {
    std::int64_t arrived = 0;  // Tick.
    std::size_t home = 0;
  };
  struct RollingSecond {  // Counts per tick over the last second.
    std::vector<int> counts = std::vector<int>(kTicksPerSecond);
    int sum = 0;
    void Add(std::int64_t tick) {
      ++counts[static_cast<std::size_t>(tick % kTicksPerSecond)];
      ++sum;
    }
    void Expire(std::int64_t tick) {
      int& count = counts[static_cast<std::size_t>(tick % kTicksPerSecond)];
      sum -= count;
      count = 0;
    }
  };
  struct Pool {
    double slots = 0.0;
    int busy = 0;
    int busy_shifted = 0;
    double warm_up_requests =
        0.0;  // Number of shifted requests that were started.
    std::deque<Work> queue;
    std::vector<int> done = std::vector<int>(kRingTicks);
    std::vector<int> done_shifted = std::vector<int>(kRingTicks);
    std::vector<std::vector<Work>> incoming = std::vector<std::vector<Work>>(
        kRingTicks);  // Forwarded, by arrival tick.
    std::vector<std::vector<Work>> returning = std::vector<std::vector<Work>>(
        kRingTicks);  // Bounced, by arrival tick.
    std::vector<Caller> callers = std::vector<Caller>(kCallerGroups);
    double demand = 0.0;  // Requests per second of callers with this home.
    RollingSecond arrivals;
    RollingSecond refusals;
    RollingSecond shifted;
  };
  struct Domain {
    std::unique_ptr<ShiftPolicy> policy;
    std::unique_ptr<LookupPlanner> lookups;
    std::unique_ptr<ShiftLimiter> limiter;
    LookupDemandTracker handed_out;
    ShiftPlan plan;
    std::deque<std::pair<MonotonicTime, DomainLoad>> history;
    /// The last received load of each failure domain, and when it was measured.
    std::map<std::size_t, std::optional<std::pair<MonotonicTime, DomainLoad>>>
        last_received;
    bool is_lost = false;
    bool is_muted = false;
    bool is_drained = false;
  };
  struct Trend {
    double extreme = 0.0;
    int direction = 0;
    std::deque<std::pair<MonotonicTime, double>> window;
  };

  Pool& PoolOf(std::size_t service, std::size_t domain) {
    return pools_[service * domains_.size() + domain];
  }
  [[nodiscard]] std::size_t IndexOf(const FailureDomainName& name) const;
  [[nodiscard]] bool CanReach(std::size_t from, std::size_t to) const;
  [[nodiscard]] std::size_t LinkIndex(std::size_t from, std::size_t to) const {
    return from * domains_.size() + to;
  }
  void Apply(const Event& event);
  void RebuildCatalogue();
  void Measure();
  [[nodiscard]] std::vector<DomainLoad> ViewOf(std::size_t viewer);
  void PlanAll();
  void PlanOne(std::size_t domain);
  void TrackRates(std::size_t domain);
  int DrawArrivals(double mean);
  void Arrive(std::size_t service, std::size_t home);
  std::size_t ChooseDomain(std::size_t service, std::size_t home);
  void ServeLocally(std::size_t service, std::size_t domain, Work work);
  bool TryShift(std::size_t service, std::size_t domain, Work work);
  void ReceiveForwarded(std::size_t service,
                        std::size_t domain,
                        std::size_t from,
                        Work work);
  void Start(std::size_t service,
             std::size_t domain,
             Work work,
             Duration extra,
             bool is_shifted);
  void Refuse(std::size_t service, std::size_t domain);
  void StepPool(std::size_t service, std::size_t domain);
  void Step();

  Scenario scenario_;
  fakes::ManualClock clock_;
  fakes::SeededRandom random_;
  catalogue::SharedCatalogueView catalogue_;
  std::vector<Domain> domains_;
  std::vector<Pool> pools_;
  std::vector<RollingSecond> links_;
  std::vector<const catalogue::LinkEntry*> link_entries_;
  std::vector<Trend> trends_;
  std::set<std::string> isolated_;
  std::int64_t tick_ = 0;
  std::int64_t first_event_tick_ = -1;
  std::uint64_t forwarded_far_ = 0;
  double spread_sum_ = 0.0;
  int spread_count_ = 0;
  Outcome outcome_;
};

}  // namespace medlarcroft::steering::scenario

#endif  // MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_LOOP_H_
