#ifndef MEDLARCROFT_TESTS_SCENARIOS_SIMULATOR_H_
#define MEDLARCROFT_TESTS_SCENARIOS_SIMULATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/decision/request_scheduler.h"
#include "scenarios/figures.h"
#include "scenarios/scenario.h"
#include "scenarios/target_model.h"

namespace medlarcroft::scenarios {

/// @brief Simulates the entry hosts of one failure domain, its targets and its
/// callers in virtual time; the same seed gives the same figures.
class Simulator {
 public:
  /// All arguments must outlive the simulator.
  Simulator(const Scenario& scenario,
            const Variant& variant,
            const Deployment& deployment);

  [[nodiscard]] RunFigures Run();

 private:
  struct Attempt {
    TargetModel* target = nullptr;
    bool has_ended = false;
    bool is_working = false;  ///< Occupies a slot of the target.
  };
  struct Request {
    std::size_t service = 0;
    std::size_t brand = 0;
    Duration arrived{};
    int runs = 0;
    int returns = 0;
    bool is_done = false;
    std::map<std::uint32_t, Attempt> attempts;
  };
  struct EntryHost {
    std::unique_ptr<fakes::SeededRandom> random;
    std::unique_ptr<decision::RequestScheduler> scheduler;
    std::unordered_map<std::uint64_t, Request> requests;
    std::optional<Duration> wake;
  };
  struct Event {
    Duration at{};
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void MakeTargets();
  void MakeHosts();
  void Schedule(Duration at, std::function<void()> run);
  [[nodiscard]] MonotonicTime Now() const;
  [[nodiscard]] double LoadNow() const;
  [[nodiscard]] Duration Exponential(double mean_seconds);

  void Configure();
  [[nodiscard]] decision::ServiceConfig ConfigFor(const ServiceModel& model,
                                                  std::size_t host) const;
  void SendReports();

  void ScheduleArrival(std::size_t service);
  void Arrive(std::size_t service);
  void Submit(Request request);
  void ScheduleCallerReturn(const Request& request, Duration retry_after);
  [[nodiscard]] std::size_t ChooseBrand();

  void Start(std::size_t host, const decision::Dispatch& dispatch);
  void RecordNewWork(const TargetModel& target);
  void RunOnTarget(std::size_t host,
                   const decision::Dispatch& dispatch,
                   TargetModel& target,
                   const ServiceModel& model);
  void SimulateSilentConnection(std::size_t host,
                                const decision::Dispatch& dispatch,
                                TargetModel& target,
                                const ServiceModel& model);
  void ScheduleAttemptEnd(std::size_t host,
                          decision::AttemptId id,
                          decision::AttemptOutcome outcome,
                          Duration delay);
  void End(std::size_t host,
           decision::AttemptId id,
           decision::AttemptOutcome outcome);
  void ApplyNextStep(std::size_t host,
                     decision::RequestTicket ticket,
                     decision::AttemptOutcome outcome,
                     const decision::NextStep& step);
  void Advance(std::size_t host);

  void RecordAnswer(Request& request, bool is_error);
  void RecordRefusal(Request& request, const decision::Refusal& refusal);
  [[nodiscard]] ServiceFigures* FiguresOf(const Request& request);
  void CountUnanswered();

  const Scenario& scenario_;
  const Variant& variant_;
  const Deployment& deployment_;
  fakes::SeededRandom random_;
  Duration now_{};
  std::uint64_t events_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::map<std::string, TargetModel> targets_;
  std::vector<EntryHost> hosts_;
  RunFigures figures_;
};

}  // namespace medlarcroft::scenarios

#endif  // MEDLARCROFT_TESTS_SCENARIOS_SIMULATOR_H_
