#include "crash_sharing.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "adapters/process/log.h"
#include "medlarcroft/peer_updates/update_timing.h"
#include "platform/blocked_request_entry.h"
#include "platform/host_entry.h"
#include "unreadable_entry.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;
using request_path::RequestFingerprint;

// Reports repeated per period; bounds the traffic per host.
constexpr std::size_t kMaxRepeatedReports = 40;
constexpr Duration kRowWriteRetryPeriod = std::chrono::seconds(5);
// A row is removed this long after its expiry, to allow for clock skew.
constexpr Duration kRowExpiryMargin = std::chrono::seconds(30);
// Removals are spread randomly over this time, so that usually a single host
// issues the removal.
constexpr Duration kRowRemovalSpread = std::chrono::minutes(10);

constexpr telemetry::MetricDescription kCrashes = {
    "medlar_target_crashes_seen_total",
    "Requests of this host under which their target ended."};
constexpr telemetry::MetricDescription kBlocked = {
    "medlar_blocked_requests",
    "Requests that are sent to no target, since they crash them."};

void LogRowFailure(std::string_view event,
                   RequestFingerprint request,
                   replication::RowFailure failure) {
  Log(LogLevel::kWarning, event,
      {{"fingerprint", platform::FormatFingerprint(request)},
       {"reason", replication::NameOf(failure)}});
}

}  // namespace

CrashSharing::CrashSharing(const Parts& parts)
    : parts_(parts), crash_counter_(parts.metrics.CounterOf(kCrashes)) {
  parts_.ledger.Observe(this);
  parts_.metrics.AddGaugeSource(kBlocked, {}, [this] {
    return static_cast<double>(parts_.ledger.BlockedRequests());
  });
}

CrashSharing::~CrashSharing() {
  parts_.ledger.Observe(nullptr);
}

void CrashSharing::Start() {
  parts_.loop.Every(peer_updates::kGlobalRepeatPeriod, [this] { Tick(); });
}

void CrashSharing::OnCrash(const adapters::InterruptedSend& interrupted) {
  crash_counter_.Add();
  const MonotonicTime now = parts_.loop.Now();
  parts_.ledger.OnCrash(interrupted.fingerprint,
                        request_path::NumberOf(interrupted.target), now,
                        now - interrupted.ended_at);
  Log(LogLevel::kWarning, "target-crashed",
      {{"request", interrupted.id},
       {"fingerprint", platform::FormatFingerprint(interrupted.fingerprint)},
       {"target", interrupted.target.name.Value()},
       {"incarnation", interrupted.target.incarnation},
       {"crashes", parts_.ledger.CrashesOf(interrupted.fingerprint)}});
}

void CrashSharing::OnReport(const request_path::CrashReport& report) {
  parts_.ledger.OnReport(report, parts_.loop.Now());
}

void CrashSharing::OnPublish(const request_path::CrashReport& report) {
  parts_.peers.PublishCrashes(std::span(&report, 1));
  const auto stored = stored_rows_.find(report.request);
  if (report.kind == request_path::CrashReportKind::kAnswered &&
      stored != stored_rows_.end()) {
    RemoveRow(report.request, stored->second.version);
  }
}

void CrashSharing::OnBlocked(RequestFingerprint request,
                             Duration blocked_for,
                             bool is_own) {
  Log(LogLevel::kWarning, "request-blocked",
      {{"fingerprint", platform::FormatFingerprint(request)},
       {"crashes", parts_.ledger.CrashesOf(request)},
       {"is_own", is_own},
       {"blocked_for_ms", ToMilliseconds(blocked_for)}});
  if (is_own) {
    own_rows_[request] = {.until = parts_.loop.Clock().WallNow() + blocked_for,
                          .is_stored = HasUnexpiredRow(request)};
  }
}

void CrashSharing::OnUnblocked(RequestFingerprint request) {
  Log(LogLevel::kWarning, "request-unblocked",
      {{"fingerprint", platform::FormatFingerprint(request)}});
  own_rows_.erase(request);
}

void CrashSharing::OnHeld(RequestFingerprint request, Duration delay) {
  Log(LogLevel::kWarning, "request-held",
      {{"fingerprint", platform::FormatFingerprint(request)},
       {"crashes", parts_.ledger.CrashesOf(request)},
       {"held_for_ms", ToMilliseconds(delay)}});
  parts_.loop.After(delay, [this, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      parts_.ledger.Advance(parts_.loop.Now());
    }
  });
}

void CrashSharing::OnRow(const replication::Row& row) {
  const auto request = platform::ParseBlockedRequestKey(row.key);
  if (!request) {
    return;
  }
  if (row.is_removed) {
    // Removing an expired row must not lift a newer block of the same request.
    const bool was_unexpired = HasUnexpiredRow(*request);
    stored_rows_.erase(*request);
    if (was_unexpired) {
      own_rows_.erase(*request);
      parts_.ledger.Unblock(*request);
    }
    return;
  }
  const auto decoded = platform::DecodeBlockedRequest(row.key, row.value);
  if (!IsOk(decoded)) {
    ReportUnreadable(parts_.metrics, "blocked-request-unreadable", row,
                     ErrorOf(decoded));
    return;
  }
  const WallTime until = ValueOf(decoded).until;
  stored_rows_[*request] = {
      .version = row.version,
      .until = until,
      .remove_at =
          until + kRowExpiryMargin +
          FromSeconds(ToSeconds(kRowRemovalSpread) * parts_.random.NextUnit())};
  const auto own = own_rows_.find(*request);
  if (own != own_rows_.end()) {
    own->second.is_stored = HasUnexpiredRow(*request);
  }
  const Duration left = until - parts_.loop.Clock().WallNow();
  if (left > Duration(0)) {
    OnReport({.kind = request_path::CrashReportKind::kBlocked,
              .request = *request,
              .blocked_for = left});
  }
}

bool CrashSharing::HasUnexpiredRow(RequestFingerprint request) const {
  const auto stored = stored_rows_.find(request);
  return stored != stored_rows_.end() &&
         stored->second.until > parts_.loop.Clock().WallNow();
}

void CrashSharing::Tick() {
  const MonotonicTime now = parts_.loop.Now();
  const WallTime wall = parts_.loop.Clock().WallNow();
  parts_.ledger.Advance(now);
  parts_.peers.PublishCrashes(
      parts_.ledger.ReportsToRepeat(kMaxRepeatedReports, now));
  std::erase_if(own_rows_,
                [wall](const auto& own) { return own.second.until < wall; });
  for (auto& [request, row] : own_rows_) {
    const bool is_due =
        !row.is_stored &&
        (!row.written_at || now - *row.written_at >= kRowWriteRetryPeriod);
    if (is_due) {
      WriteRow(request, row);
    }
  }
  for (auto& [request, row] : stored_rows_) {
    if (wall >= row.remove_at) {
      row.remove_at = wall + kRowRemovalSpread;
      RemoveRow(request, row.version);
    }
  }
}

// Several hosts may write the row concurrently. The precondition lets only the
// first one succeed; the others receive the row through the table.
void CrashSharing::WriteRow(RequestFingerprint request, OwnRow& row) {
  row.written_at = parts_.loop.Now();
  const auto stored = stored_rows_.find(request);
  parts_.store.Write(
      {.table = std::string(platform::kHostTable),
       .key = platform::FormatBlockedRequestKey(request),
       .value = platform::EncodeBlockedRequest(
           {.request = request, .until = row.until}),
       .expected_version =
           stored == stored_rows_.end() ? 0 : stored->second.version},
      [request](const Result<Success, replication::RowFailure>& result) {
        if (!IsOk(result)) {
          LogRowFailure("blocked-request-not-stored", request, ErrorOf(result));
        }
      });
}

void CrashSharing::RemoveRow(RequestFingerprint request,
                             std::uint64_t version) {
  parts_.store.Write(
      {.table = std::string(platform::kHostTable),
       .key = platform::FormatBlockedRequestKey(request),
       .expected_version = version},
      [this, request,
       version](const Result<Success, replication::RowFailure>& result) {
        if (!IsOk(result)) {
          OnRowNotRemoved(request, version, ErrorOf(result));
        }
      });
}

// Guards against a removal that the store refuses: a host that starts later
// would read the row and block a request that has been answered. The removal is
// repeated while the row has this version; a row that another host has changed
// is told by the table.
void CrashSharing::OnRowNotRemoved(RequestFingerprint request,
                                   std::uint64_t version,
                                   replication::RowFailure failure) {
  LogRowFailure("blocked-request-not-removed", request, failure);
  const auto stored = stored_rows_.find(request);
  if (failure != replication::RowFailure::kConditionFailed &&
      stored != stored_rows_.end() && stored->second.version == version) {
    stored->second.remove_at =
        parts_.loop.Clock().WallNow() + kRowWriteRetryPeriod;
  }
}

}  // namespace medlarcroft::node
