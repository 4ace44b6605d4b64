#include <set>
#include <utility>

#include "adapters/process/log.h"
#include "peer_group.h"
#include "platform/blocked_request_entry.h"
#include "platform/host_entry.h"
#include "unreadable_entry.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;

constexpr Duration kRowWriteRetryDelay = std::chrono::milliseconds(700);
// Time that this host's row takes to come back from the store after a write.
constexpr Duration kOwnRowPropagationTime = std::chrono::seconds(5);

}  // namespace

void PeerGroup::OnTable(std::span<const replication::Row> rows) {
  std::set<HostName> listed;
  for (const replication::Row& row : rows) {
    listed.emplace(row.key);
    Apply(row);
  }
  std::erase_if(entries_, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  ApplyEntries();
  EnsureOwnRow();
  AnnounceToNewPeers();
}

void PeerGroup::OnRows(std::span<const replication::Row> rows) {
  for (const replication::Row& row : rows) {
    Apply(row);
  }
  ApplyEntries();
  EnsureOwnRow();
  AnnounceToNewPeers();
}

// A starting host sends its state to the others at once, not only with its next
// heartbeat that comes with the full state: from then on it is returned in
// look-ups and counts as a reader. A host that receives the state of a host for
// the first time replies with its own.
void PeerGroup::AnnounceToNewPeers() {
  std::vector<std::string> new_peer_addresses;
  for (auto& [name, entry] : entries_) {
    const bool is_new_peer = !entry.is_announced_to &&
                             name.Value() != settings_.host &&
                             IsInOwnRegion(entry.host.failure_domain);
    if (is_new_peer) {
      new_peer_addresses.push_back(entry.host.address);
      entry.is_announced_to = true;
    }
  }
  if (!new_peer_addresses.empty()) {
    channel_->Send(new_peer_addresses,
                   {.sender = membership::HashOf(table_.Self().host),
                    .state = table_.Self()});
  }
}

void PeerGroup::Apply(const replication::Row& row) {
  if (platform::ParseBlockedRequestKey(row.key)) {
    parts_.on_blocked_row(row);
    return;
  }
  const HostName name(row.key);
  if (row.is_removed) {
    entries_.erase(name);
    return;
  }
  const auto decoded = platform::DecodeHostEntry(row.key, row.value);
  if (!IsOk(decoded)) {
    OnUnreadableRow(row, ErrorOf(decoded));
    return;
  }
  Entry& entry = entries_[name];
  entry = {
      .host = ValueOf(decoded).host,
      .link_mbps = ValueOf(decoded).link_mbps,
      .row_version = row.version,
      .updated_at = parts_.loop.Now(),
      .is_announced_to = entry.is_announced_to &&
                         entry.host.address == ValueOf(decoded).host.address};
}

// Another writer may corrupt a host's row. If the other hosts dropped it, they
// would divide global limits among fewer hosts than send requests. They
// therefore keep what they knew, and the host itself treats its row as missing
// and writes it again.
void PeerGroup::OnUnreadableRow(const replication::Row& row,
                                const platform::DecodeError& fault) {
  ReportUnreadable(parts_.metrics, "host-entry-unreadable", row, fault);
  if (row.key == settings_.host) {
    entries_.erase(HostName(row.key));
    return;
  }
  const auto known = entries_.find(HostName(row.key));
  if (known != entries_.end()) {
    known->second.row_version = row.version;
  }
}

void PeerGroup::ApplyEntries() {
  std::vector<ports::ListedHost> hosts;
  std::vector<peer_updates::Peer> peers;
  numbers_.clear();
  for (const auto& [name, entry] : entries_) {
    hosts.push_back(entry.host);
    numbers_.emplace(membership::HashOf(name), name);
    if (name.Value() != settings_.host &&
        IsInOwnRegion(entry.host.failure_domain)) {
      peers.push_back({.host = name,
                       .address = entry.host.address,
                       .failure_domain = entry.host.failure_domain,
                       .link_mbps = entry.link_mbps});
    }
  }
  table_.ApplyHostList(hosts);
  region_broadcaster_->SetPeers(std::move(peers));
}

// A restarted host finds its row and keeps it, since each written row ends the
// pending calls of all hosts that follow the table.
void PeerGroup::EnsureOwnRow() {
  const auto own = entries_.find(HostName(settings_.host));
  const bool is_current = own != entries_.end() &&
                          own->second.host.address == settings_.peer_listen;
  const bool is_propagating =
      row_written_at_ &&
      parts_.loop.Now() - *row_written_at_ < kOwnRowPropagationTime;
  if (!is_current && !is_row_write_pending_ && !is_propagating) {
    WriteOwnRow();
  }
}

void PeerGroup::WriteOwnRow() {
  is_row_write_pending_ = true;
  const platform::HostEntry self{
      .host = {.name = settings_.host,
               .failure_domain = FailureDomainName(settings_.failure_domain),
               .address = settings_.peer_listen},
      .link_mbps = settings_.link_mbps};
  parts_.store.Write(
      {.table = std::string(platform::kHostTable),
       .key = settings_.host,
       .value = platform::EncodeHostEntry(self)},
      [this](const Result<Success, replication::RowFailure>& result) {
        // A repeated write is harmless.
        if (!IsOk(result)) {
          parts_.loop.After(kRowWriteRetryDelay, [this] { WriteOwnRow(); });
          return;
        }
        is_row_write_pending_ = false;
        row_written_at_ = parts_.loop.Now();
      });
}

void PeerGroup::RemoveLostHosts() {
  if (follower_.IsDisconnected()) {
    return;
  }
  const MonotonicTime now = parts_.loop.Now();
  for (const auto& [name, entry] : entries_) {
    const bool is_removable = name.Value() != settings_.host &&
                              IsInOwnRegion(entry.host.failure_domain) &&
                              now - entry.updated_at > kHostLostTimeout;
    if (!is_removable) {
      continue;
    }
    const auto member = table_.Find(name);
    if (member && member->state.age < kHostLostTimeout &&
        member->state.number.incarnation > 0) {
      continue;
    }
    Log(LogLevel::kInfo, "host-row-removed", {{"peer", name.Value()}});
    parts_.store.Write({.table = std::string(platform::kHostTable),
                        .key = name.Value(),
                        .expected_version = entry.row_version},
                       [](const Result<Success, replication::RowFailure>&) {});
  }
}

}  // namespace medlarcroft::node
