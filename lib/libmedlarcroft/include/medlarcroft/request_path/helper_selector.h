#ifndef MEDLARCROFT_REQUEST_PATH_HELPER_SELECTOR_H_
#define MEDLARCROFT_REQUEST_PATH_HELPER_SELECTOR_H_

#include <map>
#include <optional>
#include <span>
#include <string>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::request_path {

/// @brief Another host that can send for this one.
struct RelayHelper {
  HostName host;
  FailureDomainName failure_domain;
  std::string address;   ///< IP:port for requests between hosts.
  double link_mbps = 0;  ///< 0: unknown.
};

/// @brief What a send through a helper shows about the helper.
enum class HelperSign {
  kWorks,         ///< It sent, or said that it must not send to this target.
  kMissedTarget,  ///< It could not connect to the target.
  kBusy,          ///< It has too much to do at the moment.
  kCutOff,        ///< It reaches no target itself, or takes no requests.
  kSilent,        ///< It did not answer.
};

/// @brief Chooses which host sends for this one, while this one is cut off from
/// the targets.
///
/// Targets and other hosts fail during a cut too. If each send that fails were
/// held against its helper, a few targets that are down would use up all
/// helpers, and callers would be refused although other targets serve. So a
/// helper is avoided for what it says about itself, or for its silence. One
/// that misses a target is only asked after others for a moment: it may have
/// lost its links without knowing it yet.
class HelperSelector {
 public:
  explicit HelperSelector(ports::RandomSource& random) : random_(random) {}

  void OnEnd(const RelayHelper& helper, HelperSign sign, MonotonicTime now);
  /// @brief Chooses at random, in proportion to the bandwidth of the hosts'
  /// links.
  /// @return null when none of the helpers is worth asking.
  [[nodiscard]] const RelayHelper* Choose(std::span<const RelayHelper> helpers,
                                          MonotonicTime now);

 private:
  struct Record {
    FailureDomainName failure_domain;
    MonotonicTime avoided_until{};
    MonotonicTime cut_off_until{};  ///< Together with its failure domain.
    MonotonicTime asked_last_until{};
  };

  void ForgetExpired(MonotonicTime now);
  /// @return 0: to be asked first; nullopt: not to be asked.
  [[nodiscard]] std::optional<int> RankOf(const RelayHelper& helper,
                                          MonotonicTime now) const;

  ports::RandomSource& random_;
  std::map<HostName, Record> records_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_HELPER_SELECTOR_H_
