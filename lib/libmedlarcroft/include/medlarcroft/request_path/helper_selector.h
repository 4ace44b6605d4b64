#ifndef MEDLARCROFT_REQUEST_PATH_HELPER_SELECTOR_H_
#define MEDLARCROFT_REQUEST_PATH_HELPER_SELECTOR_H_

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

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
/// that misses a target may have lost its links without knowing it yet, with
/// all hosts of its region, so it is asked after those of other regions for a
/// moment.
class HelperSelector {
 public:
  /// @return the hosts of a region, without this one.
  using FindHelpers =
      std::function<std::vector<RelayHelper>(const RegionName&)>;

  explicit HelperSelector(ports::RandomSource& random) : random_(random) {}

  void OnEnd(const RelayHelper& helper, HelperSign sign, MonotonicTime now);
  /// @brief Chooses a host of the first of the regions that has one worth
  /// asking, at random, in proportion to the bandwidth of the hosts' links.
  /// @return nullopt when there is none.
  [[nodiscard]] std::optional<RelayHelper> Choose(
      std::span<const RegionName> regions,
      const FindHelpers& find,
      MonotonicTime now);

 private:
  struct Record {
    FailureDomainName failure_domain;
    MonotonicTime avoided_until{};
    MonotonicTime cut_off_until{};  ///< Together with its failure domain.
    MonotonicTime suspected_until{};
  };

  void ForgetExpired(MonotonicTime now);
  [[nodiscard]] const Record* Find(const RelayHelper& helper) const;
  [[nodiscard]] bool IsDomainCutOff(const FailureDomainName& domain,
                                    MonotonicTime now) const;
  /// @return null when there is none.
  [[nodiscard]] const RelayHelper* ChooseOf(
      std::span<const RelayHelper> helpers,
      bool is_suspected,
      MonotonicTime now);

  ports::RandomSource& random_;
  std::map<HostName, Record> records_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_HELPER_SELECTOR_H_
