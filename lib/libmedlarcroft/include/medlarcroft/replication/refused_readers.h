#ifndef MEDLARCROFT_REPLICATION_REFUSED_READERS_H_
#define MEDLARCROFT_REPLICATION_REFUSED_READERS_H_

#include <algorithm>
#include <map>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/replication/reader_choice.h"

namespace medlarcroft::replication {

/// @brief Hosts that refused to answer since their rows were not fresh.
///
/// The store may refuse a reader while it serves other hosts. All followers of
/// that reader would then call the store themselves, and many of them would be
/// refused as well. A refusal comes at once, so there is time for a call to
/// another reader first.
class RefusedReaders {
 public:
  void Record(const HostName& host, MonotonicTime now) {
    until_[host] = now + kExclusionTime;
  }

  /// @brief Removes the hosts that refused within `kExclusionTime`.
  void RemoveRefusing(std::vector<ReaderCandidate>& candidates,
                      MonotonicTime now) {
    std::erase_if(until_,
                  [now](const auto& refused) { return now >= refused.second; });
    std::erase_if(candidates, [this](const ReaderCandidate& candidate) {
      return until_.contains(candidate.host);
    });
  }

 private:
  static constexpr Duration kExclusionTime = std::chrono::seconds(3);

  std::map<HostName, MonotonicTime> until_;
};

/// Another reader may need half a second to find out that the store refuses it
/// as well. With less time to spare, no other reader is called.
inline constexpr Duration kMinTimeForOtherReader =
    std::chrono::milliseconds(3500);

/// @param known_within the time in which a leaving target must be known.
/// @return how many other readers are called after one that refused.
[[nodiscard]] constexpr int OtherReadersAsked(Duration known_within) {
  return known_within >= kMinTimeForOtherReader ? 1 : 0;
}

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_REFUSED_READERS_H_
