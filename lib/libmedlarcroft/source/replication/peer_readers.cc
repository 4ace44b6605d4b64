#include "medlarcroft/replication/peer_readers.h"

#include <iterator>
#include <utility>

#include "medlarcroft/replication/follow_timing.h"

namespace medlarcroft::replication {

namespace {

bool IsRefusal(const Result<RowBatch, RowFailure>& answer) {
  return !IsOk(answer) && ErrorOf(answer) == RowFailure::kRefused;
}

}  // namespace

PeerReaders::PeerReaders(Options options, Parts parts)
    : options_(std::move(options)), parts_(std::move(parts)) {}

PeerReaders::~PeerReaders() {
  *self_ = nullptr;
}

std::vector<ReaderCandidate> PeerReaders::Candidates() const {
  return EligibleReaders(options_.failure_domain,
                         parts_.directory.HostsInRegion(),
                         parts_.directory.LiveHosts());
}

bool PeerReaders::HasReaders() const {
  return Candidates().size() > kMaxDirectReaders;
}

bool PeerReaders::AskReader(const RowsRequest& request, RowsCallback callback) {
  return TryReader(request, options_.other_readers_asked, std::move(callback));
}

bool PeerReaders::TryReader(const RowsRequest& request,
                            int attempts_left,
                            RowsCallback callback) {
  std::vector<ReaderCandidate> candidates = Candidates();
  if (candidates.size() <= kMaxDirectReaders) {
    return false;
  }
  refused_.RemoveRefusing(candidates, parts_.timers.Now());
  const ReaderCandidate* const reader = ChooseReader(request.table, candidates);
  if (reader == nullptr || reader->host == options_.host) {
    return false;
  }
  CallReader(
      *reader, request,
      [self = self_, request, attempts_left,
       callback = std::move(callback)](Result<RowBatch, RowFailure> answer) {
        // Another reader is not to hold the call: the first one took time that
        // a call to the store may need.
        RowsRequest next = request;
        next.wait = Duration(0);
        const bool is_retried =
            IsRefusal(answer) && attempts_left > 0 && *self != nullptr &&
            (*self)->TryReader(next, attempts_left - 1, callback);
        if (!is_retried) {
          callback(std::move(answer));
        }
      });
  return true;
}

void PeerReaders::AskSomeReader(const RowsRequest& request,
                                RowsCallback callback) {
  std::vector<ReaderCandidate> hosts = parts_.directory.LiveHosts();
  // A store that refuses a whole region may serve another one.
  std::vector<ReaderCandidate> other_regions =
      parts_.directory.HostsInOtherRegions();
  std::move(other_regions.begin(), other_regions.end(),
            std::back_inserter(hosts));
  std::erase_if(hosts, [this](const ReaderCandidate& candidate) {
    return candidate.host == options_.host;
  });
  std::vector<ReaderCandidate> readers =
      ChooseReadersOfAllRegions(request.table, hosts, parts_.regions);
  refused_.RemoveRefusing(readers, parts_.timers.Now());
  if (readers.empty()) {
    parts_.timers.RunAfter(Duration(0), [callback = std::move(callback)] {
      callback(RowFailure::kUnreachable);
    });
    return;
  }
  CallReader(readers[parts_.random.NextBelow(readers.size())], request,
             std::move(callback));
}

void PeerReaders::CallReader(const ReaderCandidate& reader,
                             const RowsRequest& request,
                             RowsCallback callback) {
  parts_.ask_host(
      reader.address, request,
      [self = self_, reader, table = request.table,
       callback = std::move(callback)](Result<RowBatch, RowFailure> answer) {
        if (*self != nullptr) {
          (*self)->OnAnswer(reader, table, answer);
        }
        callback(std::move(answer));
      });
}

// A host that the store answers proves that it is not away.
void PeerReaders::OnAnswer(const ReaderCandidate& reader,
                           const std::string& table,
                           const Result<RowBatch, RowFailure>& answer) {
  const MonotonicTime now = parts_.timers.Now();
  if (IsOk(answer)) {
    refused_elsewhere_at_.erase(table);
  }
  if (!IsRefusal(answer)) {
    return;
  }
  refused_.Record(reader.host, now);
  if (IsElsewhere(reader.failure_domain)) {
    refused_elsewhere_at_[table] = now;
  }
}

bool PeerReaders::IsElsewhere(const FailureDomainName& domain) const {
  const auto own = parts_.regions.find(options_.failure_domain);
  const auto other = parts_.regions.find(domain);
  const bool is_other_region = own != parts_.regions.end() &&
                               other != parts_.regions.end() &&
                               own->second != other->second;
  return is_other_region || parts_.directory.HostsInOtherRegions().empty();
}

std::optional<Duration> PeerReaders::RefusedElsewhereAgo(
    const std::string& table) const {
  const auto found = refused_elsewhere_at_.find(table);
  return found == refused_elsewhere_at_.end()
             ? std::nullopt
             : std::optional(parts_.timers.Now() - found->second);
}

}  // namespace medlarcroft::replication
