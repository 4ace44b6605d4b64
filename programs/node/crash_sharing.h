#ifndef MEDLARCROFT_PROGRAMS_NODE_CRASH_SHARING_H_
#define MEDLARCROFT_PROGRAMS_NODE_CRASH_SHARING_H_

#include <map>
#include <memory>
#include <optional>

#include "adapters/event/event_loop.h"
#include "adapters/forward/crash_probe.h"
#include "medlarcroft/replication/row.h"
#include "medlarcroft/request_path/crash_tracker.h"
#include "medlarcroft/telemetry/metrics.h"
#include "peer_group.h"
#include "platform/store_client.h"

namespace medlarcroft::node {

/// @brief Synchronizes the crash tracker with other hosts: exchanges reports in
/// datagrams and stores a row per blocked request, so that a block outlives the
/// hosts that observed the crashes.
class CrashSharing final : public request_path::CrashObserver {
 public:
  struct Parts {
    adapters::EventLoop& loop;
    platform::StoreClient& store;
    request_path::CrashTracker& ledger;
    PeerGroup& peers;
    ports::RandomSource& random;
    telemetry::MetricsRegistry& metrics;
  };

  explicit CrashSharing(const Parts& parts);
  ~CrashSharing() override;
  CrashSharing(const CrashSharing&) = delete;
  CrashSharing& operator=(const CrashSharing&) = delete;

  void Start();

  /// @brief Handles a target crash during a send of this host.
  void OnCrash(const adapters::InterruptedSend& interrupted);
  /// @brief Handles a report of another host.
  void OnReport(const request_path::CrashReport& report);
  /// @brief Handles a written or removed row of a blocked request.
  void OnRow(const replication::Row& row);

  void OnPublish(const request_path::CrashReport& report) override;
  void OnBlocked(request_path::RequestFingerprint request,
                 Duration blocked_for,
                 bool is_own) override;
  void OnUnblocked(request_path::RequestFingerprint request) override;
  void OnHeld(request_path::RequestFingerprint request,
              Duration delay) override;

 private:
  /// @brief A row that this host must ensure is stored.
  struct OwnRow {
    WallTime until;
    bool is_stored = false;
    std::optional<MonotonicTime> written_at;
  };
  struct StoredRow {
    std::uint64_t version = 0;
    WallTime until;
    WallTime remove_at;
  };

  [[nodiscard]] bool HasUnexpiredRow(
      request_path::RequestFingerprint request) const;
  void Tick();
  void WriteRow(request_path::RequestFingerprint request, OwnRow& row);
  void RemoveRow(request_path::RequestFingerprint request,
                 std::uint64_t version);
  void OnRowNotRemoved(request_path::RequestFingerprint request,
                       std::uint64_t version,
                       replication::RowFailure failure);

  Parts parts_;
  std::map<request_path::RequestFingerprint, OwnRow> own_rows_;
  std::map<request_path::RequestFingerprint, StoredRow> stored_rows_;
  telemetry::Counter& crash_counter_;
  /// Released with this object: a timer that fires later finds it gone.
  std::shared_ptr<CrashSharing*> alive_ = std::make_shared<CrashSharing*>(this);
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_CRASH_SHARING_H_
