#include "medlarcroft/load_generator/load_statistics.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlarcroft::load_generator {

namespace {

/// Quantiles of a run are too high by at most 4.7%.
constexpr unsigned kBucketsPerDecade = 50;
/// Quantiles of one second are too high by at most 26%. Fewer buckets limit
/// memory, as there is one histogram for each second.
constexpr unsigned kBucketsPerDecadeOfSecond = 10;
constexpr std::size_t kMaxExamples = 10;

using telemetry::LatencyHistogram;

double ToMs(std::optional<Duration> duration) {
  return duration ? ToSeconds(*duration) * 1000 : 0;
}

void Count(RequestEnd end, EndCounts& counts) {
  constexpr std::array kMembers = {&EndCounts::ran, &EndCounts::refused,
                                   &EndCounts::failed, &EndCounts::unsent};
  counts.intended++;
  (counts.*kMembers.at(static_cast<std::size_t>(end)))++;
}

LatencySummary Summarise(const LatencyHistogram& histogram) {
  return {.p50_ms = ToMs(histogram.Quantile(0.5)),
          .p90_ms = ToMs(histogram.Quantile(0.9)),
          .p99_ms = ToMs(histogram.Quantile(0.99)),
          .p999_ms = ToMs(histogram.Quantile(0.999))};
}

double ShareOf(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

std::string Describe(const OutcomeMismatch& mismatch) {
  constexpr std::array<std::string_view, 3> kNames = {
      "double run", "false \"not run\"", "answered without a run"};
  std::string text(kNames.at(static_cast<std::size_t>(mismatch.fault)));
  text += ": " + mismatch.request + ", runs: " + std::to_string(mismatch.runs);
  for (const std::string& target : mismatch.targets) {
    text += ", " + target;
  }
  return text;
}

void AddExample(CheckReport& checks, std::string example) {
  if (checks.examples.size() < kMaxExamples) {
    checks.examples.push_back(std::move(example));
  }
}

void CompareRuns(const OutcomeAuditor& auditor,
                 const RunAudit& audit,
                 CheckReport& checks) {
  constexpr std::array kMembers = {&CheckReport::double_runs,
                                   &CheckReport::false_not_run,
                                   &CheckReport::no_run};
  checks.is_audited = true;
  checks.is_audit_complete = audit.is_complete;
  for (const OutcomeMismatch& mismatch : auditor.Compare(audit.runs)) {
    // The run may be on the list of a target that did not respond.
    if (mismatch.fault == MismatchType::kNoRun && !audit.is_complete) {
      continue;
    }
    (checks.*kMembers.at(static_cast<std::size_t>(mismatch.fault)))++;
    AddExample(checks, Describe(mismatch));
  }
}

bool IsOverLimit(const ClassLoad& load, const ClassReport& report) {
  const EndCounts& counts = report.counts;
  const std::uint64_t late = report.late + counts.failed + counts.unsent;
  return ShareOf(late, counts.intended) > load.max_late_ratio ||
         ShareOf(counts.refused, counts.intended) > load.max_refused_ratio;
}

}  // namespace

LoadStatistics::LoadStatistics(const LoadPlan& plan)
    : plan_(plan), classes_(plan.classes.size()) {
  for (ClassStatistics& entry : classes_) {
    entry.latency = std::make_unique<LatencyHistogram>(kBucketsPerDecade);
  }
}

void LoadStatistics::RecordEnd(const EndedRequest& request) {
  ClassStatistics& entry = classes_.at(request.class_index);
  SecondStatistics& second = SecondOf(request.intended_at);
  Count(request.end, entry.counts);
  Count(request.end, second.counts);
  entry.retries += request.attempts > 1 ? request.attempts - 1 : 0;
  if (request.end != RequestEnd::kRan) {
    return;
  }
  entry.latency->Record(request.latency);
  second.latency->Record(request.latency);
  if (request.latency > plan_.classes[request.class_index].deadline) {
    entry.late++;
  }
}

void LoadStatistics::RecordResponse(std::optional<ResponseFault> fault,
                                    std::string_view path) {
  constexpr std::array kMembers = {&CheckReport::missing_outcome,
                                   &CheckReport::truncated,
                                   &CheckReport::crossed};
  constexpr std::array<std::string_view, 3> kNames = {"without outcome",
                                                      "truncated", "crossed"};
  checks_.answers++;
  if (fault) {
    const auto index = static_cast<std::size_t>(*fault);
    (checks_.*kMembers.at(index))++;
    AddExample(checks_,
               std::string(kNames.at(index)) + ": " + std::string(path));
  }
}

void LoadStatistics::RecordCause(std::size_t class_index,
                                 const std::string& cause) {
  classes_.at(class_index).causes[cause]++;
}

void LoadStatistics::RecordHeadroom(Duration at, double headroom) {
  SecondOf(at).headroom = headroom;
}

EndCounts LoadStatistics::Totals() const {
  EndCounts totals;
  for (const ClassStatistics& entry : classes_) {
    totals.intended += entry.counts.intended;
    totals.ran += entry.counts.ran;
    totals.refused += entry.counts.refused;
    totals.failed += entry.counts.failed;
    totals.unsent += entry.counts.unsent;
  }
  return totals;
}

LoadStatistics::SecondStatistics& LoadStatistics::SecondOf(Duration at) {
  const auto index = static_cast<std::size_t>(
      std::max<Duration::rep>(0, at / Duration(std::chrono::seconds(1))));
  while (seconds_.size() <= index) {
    seconds_.push_back({.latency = std::make_unique<LatencyHistogram>(
                            kBucketsPerDecadeOfSecond)});
  }
  return seconds_[index];
}

LoadReport LoadStatistics::MakeReport(
    std::string name,
    const OutcomeAuditor& auditor,
    const std::optional<RunAudit>& audit) const {
  LoadReport report{.name = std::move(name),
                    .duration_s = ToSeconds(plan_.duration),
                    .checks = checks_};
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    const ClassStatistics& entry = classes_[i];
    report.classes.push_back({.service = plan_.classes[i].service,
                              .counts = entry.counts,
                              .late = entry.late,
                              .retries = entry.retries,
                              .latency = Summarise(*entry.latency),
                              .causes = entry.causes});
    if (IsOverLimit(plan_.classes[i], report.classes.back())) {
      report.services_over_limit.push_back(plan_.classes[i].service);
    }
  }
  for (const SecondStatistics& entry : seconds_) {
    report.seconds.push_back({.counts = entry.counts,
                              .p50_ms = ToMs(entry.latency->Quantile(0.5)),
                              .p99_ms = ToMs(entry.latency->Quantile(0.99)),
                              .headroom = entry.headroom});
  }

  if (audit) {
    CompareRuns(auditor, *audit, report.checks);
  }
  if (report.checks.Faults() > 0) {
    report.verdict = Verdict::kFault;
  } else if (Totals().ran == 0) {
    report.verdict = Verdict::kNoResponse;
  } else if (!report.services_over_limit.empty()) {
    report.verdict = Verdict::kOverLimit;
  }
  return report;
}

}  // namespace medlarcroft::load_generator
