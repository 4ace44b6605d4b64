#ifndef MEDLARCROFT_REPLICATION_REFUSED_READERS_H_
#define MEDLARCROFT_REPLICATION_REFUSED_READERS_H_

#include <algorithm>
#include <map>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/replication/reader_choice.h"

namespace medlarcroft::replication {

/// @brief Hosts that had nothing fresh to tell when they were asked.
///
/// Failure: the store turns a reader away, and serves others. Symptom: all who
/// follow it call the store themselves, and many of them are turned away as
/// well. A refusal comes at once, so another reader can be asked first.
class RefusedReaders {
 public:
  void Note(const HostName& host, MonotonicTime now) {
    until_[host] = now + kLeftOut;
  }

  /// @brief Drops the hosts that refused lately.
  void LeaveOut(std::vector<ReaderCandidate>& candidates, MonotonicTime now) {
    std::erase_if(until_,
                  [now](const auto& refused) { return now >= refused.second; });
    std::erase_if(candidates, [this](const ReaderCandidate& candidate) {
      return until_.contains(candidate.host);
    });
  }

 private:
  static constexpr Duration kLeftOut = std::chrono::seconds(3);

  std::map<HostName, MonotonicTime> until_;
};

/// Another reader that is asked may need half a second to find out that the
/// store turns it away as well: where less time is left over, none is.
inline constexpr Duration kTimeForOtherReader = std::chrono::milliseconds(3500);

/// @param known_within the time in which a leaving target must be known.
/// @return how many other readers are asked after one that refused.
[[nodiscard]] constexpr int OtherReadersAsked(Duration known_within) {
  return known_within >= kTimeForOtherReader ? 1 : 0;
}

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_REFUSED_READERS_H_
