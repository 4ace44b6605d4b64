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

/// @brief Gathers what many hosts tell, to be told on in one datagram.
///
/// Load: a hundred hosts that each place tens of requests a second at hundreds
/// of targets. Harm prevented: news that grows with what is placed fills the
/// links of small hosts. So what was told a moment ago is not told again, and
/// what a datagram does not take waits, the oldest objects and crashes being
/// dropped and each target's latest load kept.
class UpdateQueue {
 public:
  void Add(const PeerUpdate& news, MonotonicTime now);

  /// @return at most `most_bytes` of what waits: signs of life first, then
  /// crash reports up to half of the remainder, then limit reports up to half
  /// of what is left after them, then objects and loads by halves.
  [[nodiscard]] PeerUpdate Take(std::size_t most_bytes, MonotonicTime now);

  [[nodiscard]] bool IsEmpty() const {
    return heartbeats_.empty() && placed_.empty() && loads_.empty() &&
           crashes_.empty() && limits_.empty();
  }

 private:
  struct HeardBeat {
    membership::Heartbeat heartbeat;
    MonotonicTime heard_at;
  };
  struct ToldCrash {
    request_path::CrashReport report;
    MonotonicTime told_at;
  };
  struct ToldLimit {
    double requests_per_second = 0;
    MonotonicTime told_at;
  };
  struct Told {
    std::uint32_t requests = 0;
    MonotonicTime told_at;
  };

  void AddPlaced(const PlacedObject& placed, MonotonicTime now);
  void AddLoad(const ReportedLoad& load, MonotonicTime now);
  void AddLimit(const request_path::LimitReport& report, MonotonicTime now);
  void AddCrash(const request_path::CrashReport& report, MonotonicTime now);
  void TakeHeartbeats(PeerUpdate& news,
                      std::size_t& bytes_left,
                      MonotonicTime now);
  void TakeCrashes(PeerUpdate& news, std::size_t& bytes_left);
  void TakeLimits(PeerUpdate& news, std::size_t& bytes_left, MonotonicTime now);
  void TakePlaced(PeerUpdate& news, std::size_t& bytes_left, std::size_t most);
  void TakeLoads(PeerUpdate& news, std::size_t& bytes_left, MonotonicTime now);
  void ForgetTold(MonotonicTime now);

  std::map<std::uint32_t, HeardBeat> heartbeats_;
  std::deque<PlacedObject> placed_;
  std::map<request_path::TargetNumber, std::uint32_t> loads_;
  std::deque<request_path::CrashReport> crashes_;
  std::deque<ToldCrash> told_crashes_;
  std::map<request_path::TargetNumber, double> limits_;
  std::unordered_map<request_path::TargetNumber, ToldLimit> told_limits_;
  request_path::TargetNumber last_load_{};  ///< That was taken.
  std::unordered_map<std::uint64_t, MonotonicTime> told_placed_;
  std::unordered_map<request_path::TargetNumber, Told> told_loads_;
  MonotonicTime forgot_at_{};
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_PEER_UPDATES_UPDATE_QUEUE_H_
