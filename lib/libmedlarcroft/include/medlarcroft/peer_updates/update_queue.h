#ifndef MEDLARCROFT_PEER_UPDATES_UPDATE_QUEUE_H_
#define MEDLARCROFT_PEER_UPDATES_UPDATE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "medlarcroft/core/time.h"
#include "medlarcroft/peer_updates/peer_update.h"

namespace medlarcroft::peer_updates {

/// @brief Collects the updates of many hosts and merges them into datagrams of
/// limited size.
///
/// A hundred hosts may each send tens of requests a second to hundreds of
/// targets. If forwarded data grew with the number of requests, it would
/// saturate the links of small hosts. So what was forwarded a moment ago is not
/// forwarded again, and what does not fit in a datagram waits in the queue.
/// When the queue is full, the oldest objects and crash reports are dropped; of
/// each target only the latest load is kept.
class UpdateQueue {
 public:
  void Add(const PeerUpdate& update, MonotonicTime now);

  /// @return at most `max_bytes` of the queue: heartbeats first, then crash
  /// reports up to half of the remainder, then limit reports up to half of what
  /// is left after them, then objects and loads in equal parts.
  [[nodiscard]] PeerUpdate Take(std::size_t max_bytes, MonotonicTime now);

  [[nodiscard]] bool IsEmpty() const {
    return heartbeats_.empty() && placed_.empty() && loads_.empty() &&
           crashes_.empty() && limits_.empty();
  }

 private:
  struct ReceivedHeartbeat {
    membership::Heartbeat heartbeat;
    MonotonicTime received_at;
  };
  struct ForwardedCrash {
    request_path::CrashReport report;  ///< Without its age.
    MonotonicTime forwarded_at;
  };
  struct ForwardedLimit {
    double requests_per_second = 0;
    MonotonicTime forwarded_at;
  };
  struct ForwardedLoad {
    std::uint32_t requests = 0;
    MonotonicTime forwarded_at;
  };

  void AddPlacement(const PlacedObject& placed, MonotonicTime now);
  void AddLoad(const ReportedLoad& load, MonotonicTime now);
  void AddLimit(const request_path::LimitReport& report, MonotonicTime now);
  void AddCrash(const request_path::CrashReport& report, MonotonicTime now);
  void TakeHeartbeats(PeerUpdate& update,
                      std::size_t& bytes_left,
                      MonotonicTime now);
  void TakeCrashes(PeerUpdate& update,
                   std::size_t& bytes_left,
                   MonotonicTime now);
  void TakeLimits(PeerUpdate& update,
                  std::size_t& bytes_left,
                  MonotonicTime now);
  void TakePlacements(PeerUpdate& update,
                      std::size_t& bytes_left,
                      std::size_t max_bytes);
  void TakeLoads(PeerUpdate& update,
                 std::size_t& bytes_left,
                 MonotonicTime now);
  void DropExpiredHistory(MonotonicTime now);

  std::map<std::uint32_t, ReceivedHeartbeat> heartbeats_;
  std::deque<PlacedObject> placed_;
  std::map<request_path::TargetNumber, std::uint32_t> loads_;
  std::deque<WaitingCrashReport> crashes_;
  std::deque<ForwardedCrash> forwarded_crashes_;
  std::map<request_path::TargetNumber, double> limits_;
  std::unordered_map<request_path::TargetNumber, ForwardedLimit>
      forwarded_limits_;
  request_path::TargetNumber
      last_sent_target_{};  ///< Target of the last load that was sent.
  std::unordered_map<std::uint64_t, MonotonicTime> forwarded_placements_;
  std::unordered_map<request_path::TargetNumber, ForwardedLoad>
      forwarded_loads_;
  MonotonicTime history_dropped_at_{};
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_PEER_UPDATES_UPDATE_QUEUE_H_
