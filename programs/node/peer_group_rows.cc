#include <set>
#include <utility>

#include "adapters/process/log.h"
#include "peer_group.h"
#include "platform/blocked_request_entry.h"
#include "platform/host_entry.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;

constexpr Duration kWriteAgain = std::chrono::milliseconds(700);
// The own row's news takes so long to come back from the store.
constexpr Duration kRowSettles = std::chrono::seconds(5);

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
  PublishList();
  KeepOwnRow();
  Introduce();
}

void PeerGroup::OnRows(std::span<const replication::Row> rows) {
  for (const replication::Row& row : rows) {
    Apply(row);
  }
  PublishList();
  KeepOwnRow();
  Introduce();
}

// The others hear at once of a host that starts, and not at its next beat that
// tells the whole state: it is named to callers, and counts as a reader, from
// then on. Whoever hears a host for the first time answers with its own state.
void PeerGroup::Introduce() {
  std::vector<std::string> strangers;
  for (auto& [name, entry] : entries_) {
    const bool is_stranger = !entry.is_introduced &&
                             name.Value() != settings_.host &&
                             IsInOwnRegion(entry.host.failure_domain);
    if (is_stranger) {
      strangers.push_back(entry.host.address);
      entry.is_introduced = true;
    }
  }
  if (!strangers.empty()) {
    channel_->Send(strangers, {.sender = membership::HashOf(table_.Self().host),
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
    OnUnreadable(row, ErrorOf(decoded));
    return;
  }
  Entry& entry = entries_[name];
  entry = {
      .host = ValueOf(decoded).host,
      .link_mbps = ValueOf(decoded).link_mbps,
      .row_version = row.version,
      .seen_at = parts_.loop.Now(),
      .is_introduced = entry.is_introduced &&
                       entry.host.address == ValueOf(decoded).host.address};
}

// Failure: another writer spoils a host's row. Symptom: were it dropped, the
// others would divide what all may send among fewer hosts than send. So they
// keep what they knew, and the host itself takes its row for gone and writes it
// again.
void PeerGroup::OnUnreadable(const replication::Row& row,
                             const platform::DecodeError& fault) {
  Log(LogLevel::kWarning, "host-entry-unreadable",
      {{"peer", row.key},
       {"row_version", row.version},
       {"field", fault.field},
       {"problem", platform::NameOf(fault.problem)}});
  if (row.key == settings_.host) {
    entries_.erase(HostName(row.key));
    return;
  }
  const auto known = entries_.find(HostName(row.key));
  if (known != entries_.end()) {
    known->second.row_version = row.version;
  }
}

void PeerGroup::PublishList() {
  std::vector<ports::ListedHost> hosts;
  std::vector<peer_updates::Peer> peers;
  for (const auto& [name, entry] : entries_) {
    hosts.push_back(entry.host);
    if (name.Value() != settings_.host &&
        IsInOwnRegion(entry.host.failure_domain)) {
      peers.push_back({.host = name,
                       .address = entry.host.address,
                       .failure_domain = entry.host.failure_domain,
                       .link_mbps = entry.link_mbps});
    }
  }
  table_.ApplyHostList(hosts);
  news_->SetPeers(std::move(peers));
}

// A host that starts again finds its row and leaves it: each row that is
// written wakes all who follow the table.
void PeerGroup::KeepOwnRow() {
  const auto own = entries_.find(HostName(settings_.host));
  const bool is_kept = own != entries_.end() &&
                       own->second.host.address == settings_.peer_listen;
  const bool is_settling =
      written_at_ && parts_.loop.Now() - *written_at_ < kRowSettles;
  if (!is_kept && !is_writing_ && !is_settling) {
    WriteOwnRow();
  }
}

void PeerGroup::WriteOwnRow() {
  is_writing_ = true;
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
        // Writing it twice does no harm.
        if (!IsOk(result)) {
          parts_.loop.After(kWriteAgain, [this] { WriteOwnRow(); });
          return;
        }
        is_writing_ = false;
        written_at_ = parts_.loop.Now();
      });
}

void PeerGroup::RemoveLostHosts() {
  if (watch_.IsDisconnected()) {
    return;
  }
  const MonotonicTime now = parts_.loop.Now();
  for (const auto& [name, entry] : entries_) {
    const bool may_judge = name.Value() != settings_.host &&
                           IsInOwnRegion(entry.host.failure_domain) &&
                           now - entry.seen_at > kLostAfter;
    if (!may_judge) {
      continue;
    }
    const auto member = table_.Find(name);
    if (member && member->state.age < kLostAfter &&
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
