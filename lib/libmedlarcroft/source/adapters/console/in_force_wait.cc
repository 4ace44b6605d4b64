#include "adapters/console/in_force_wait.h"

#include <map>
#include <ostream>
#include <string>

#include "adapters/console/text_table.h"

namespace medlarcroft::adapters {

namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(250);
/// Short, so that a paused steerd does not distort the times of the others.
constexpr Duration kPollTimeout = std::chrono::milliseconds(500);

/// @brief Time after which the revision was first in force in each failure
/// domain.
class DomainTimes {
 public:
  explicit DomainTimes(MonotonicTime start) : start_(start) {}

  void Record(const std::map<std::string, DomainProgress>& progress,
              MonotonicTime now) {
    for (const auto& [name, domain] : progress) {
      if (domain.behind.empty() && domain.hosts_in_force > 0) {
        times_.emplace(name, now - start_);
      }
    }
  }

  void Print(const std::map<std::string, DomainProgress>& progress,
             std::ostream& out) const {
    TextTable table(
        {"FAILURE DOMAIN", "IN FORCE", "AFTER", "BEHIND", "OUT OF REACH"});
    for (const auto& [name, domain] : progress) {
      const auto time = times_.find(name);
      const std::string after = time == times_.end()
                                    ? "-"
                                    : FormatMilliseconds(static_cast<double>(
                                          ToMilliseconds(time->second)));
      table.Add({name, std::to_string(domain.hosts_in_force), after,
                 JoinWithCommas(domain.behind),
                 JoinWithCommas(domain.out_of_reach)});
    }
    table.Print(out);
  }

 private:
  const MonotonicTime start_;
  std::map<std::string, Duration> times_;
};

}  // namespace

std::vector<SteerdStatus> FetchStatuses(const CommandContext& context) {
  std::vector<SteerdStatus> statuses;
  for (const SteerdResult& result :
       context.client.GetFromAll("/v1/status", kPollTimeout)) {
    if (!IsOk(result.response)) {
      continue;
    }
    auto status = ParseSteerdStatus(ValueOf(result.response).body);
    if (status) {
      statuses.push_back(*std::move(status));
    }
  }
  return statuses;
}

ExitCode WaitUntilInForce(const CommandContext& context,
                          std::uint64_t revision,
                          Duration limit) {
  const MonotonicTime start = context.clock.Now();
  DomainTimes times(start);
  std::map<std::string, DomainProgress> progress;
  while (true) {
    progress = MeasureProgress(FetchStatuses(context), revision);
    const MonotonicTime now = context.clock.Now();
    times.Record(progress, now);
    if (IsInForce(progress) || now - start >= limit) {
      break;
    }
    context.sleep(kPollPeriod);
  }

  if (!context.is_json) {
    times.Print(progress, context.out);
  }
  if (progress.empty()) {
    context.errors << "no steerd answered\n";
    return ExitCode::kUnreachable;
  }
  return IsInForce(progress) ? ExitCode::kSuccess : ExitCode::kIncomplete;
}

}  // namespace medlarcroft::adapters
