#ifndef MEDLARCROFT_REPLICATION_PEER_READERS_H_
#define MEDLARCROFT_REPLICATION_PEER_READERS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/ports/timers.h"
#include "medlarcroft/replication/reader_choice.h"
#include "medlarcroft/replication/refused_readers.h"
#include "medlarcroft/replication/row.h"
#include "medlarcroft/replication/table_server.h"

namespace medlarcroft::replication {

/// @brief The hosts from which rows may be requested.
class PeerDirectory {
 public:
  virtual ~PeerDirectory() = default;

  /// @return this host and the live hosts of its region.
  [[nodiscard]] virtual std::vector<ReaderCandidate> LiveHosts() const = 0;
  /// @return the registered hosts of other regions.
  [[nodiscard]] virtual std::vector<ReaderCandidate> HostsInOtherRegions()
      const = 0;
  /// @return the number of registered hosts of the region, including this one.
  [[nodiscard]] virtual std::size_t HostsInRegion() const = 0;
};

/// @brief Requests rows from the hosts that read the store for others.
class PeerReaders {
 public:
  using AskHost = std::function<void(const std::string& address,
                                     const RowsRequest& request,
                                     RowsCallback callback)>;
  struct Options {
    HostName host;
    FailureDomainName failure_domain;
    /// To how many other readers a request is sent after one refused it.
    int other_readers_asked = 0;
  };
  struct Parts {
    const PeerDirectory& directory;
    AskHost ask_host;
    ports::Timers& timers;
    ports::RandomSource& random;
    const std::map<FailureDomainName, RegionName>& regions;
  };

  PeerReaders(Options options, Parts parts);
  ~PeerReaders();
  PeerReaders(const PeerReaders&) = delete;
  PeerReaders& operator=(const PeerReaders&) = delete;

  /// @return whether enough hosts are known for one of them to read for this
  /// one.
  [[nodiscard]] bool HasReaders() const;
  /// @brief Requests the rows from the host that reads for this one.
  /// @return false when this host must read the store itself.
  bool AskReader(const RowsRequest& request, RowsCallback callback);
  /// @brief Requests the rows from a random host that reads the store, in any
  /// region.
  void AskSomeReader(const RowsRequest& request, RowsCallback callback);
  /// @return the time since a host of another region, or any host if there is
  /// no other region, refused rows of the table, since the store did not answer
  /// it; nullopt: none did since the last rows that came.
  [[nodiscard]] std::optional<Duration> RefusedElsewhereAgo(
      const std::string& table) const;

 private:
  [[nodiscard]] std::vector<ReaderCandidate> Candidates() const;
  [[nodiscard]] bool IsElsewhere(const FailureDomainName& domain) const;
  void OnAnswer(const ReaderCandidate& reader,
                const std::string& table,
                const Result<RowBatch, RowFailure>& answer);
  bool TryReader(const RowsRequest& request,
                 int attempts_left,
                 RowsCallback callback);
  /// @brief Requests the rows from `reader`. If it refuses, since its rows are
  /// not fresh, it is not used again for a while.
  void CallReader(const ReaderCandidate& reader,
                  const RowsRequest& request,
                  RowsCallback callback);

  Options options_;
  Parts parts_;
  RefusedReaders refused_;
  std::map<std::string, MonotonicTime> refused_elsewhere_at_;  ///< By table.
  /// Null after destruction, since calls may still be pending then.
  std::shared_ptr<PeerReaders*> self_ = std::make_shared<PeerReaders*>(this);
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_PEER_READERS_H_
