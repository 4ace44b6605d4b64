#include "adapters/process/client_bounds.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>

#include "adapters/process/log.h"

namespace medlarcroft::adapters {

namespace {

using resources::ConnectionState;
using resources::HolderKind;
using resources::MemoryAccount;

// Connections beyond the limit whose end no thread has noticed yet.
constexpr std::size_t kClosingConnections = 64;
// Connections that have given way and may still get what they asked for.
constexpr std::size_t kLeavingConnections = kClosingConnections / 2;

// Each `kLogEvery`th line beyond the first ones: a crowd would fill the log.
constexpr std::uint64_t kFirstLines = 20;
constexpr std::uint64_t kLogEvery = 1000;

bool IsLogged(std::uint64_t count) {
  return count <= kFirstLines || count % kLogEvery == 0;
}

// Closes a connection whose client has not taken what was sent long ago.
void CloseUnlessRead(int descriptor) {
  int unread_by_client = 0;
  if (::ioctl(descriptor, SIOCOUTQ, &unread_by_client) == 0 &&
      unread_by_client > 0) {
    (void)::shutdown(descriptor, SHUT_RDWR);
  }
}

void LogGaveWay(std::string_view reason,
                std::size_t held_bytes,
                std::uint64_t count) {
  if (IsLogged(count)) {
    Log(LogLevel::kWarning, "client-gave-way",
        {{"reason", reason}, {"held_bytes", held_bytes}, {"count", count}});
  }
}

}  // namespace

ClientMemory::Id ClientMemory::Open(int descriptor) {
  const std::lock_guard lock(mutex_);
  const Id id = account_.Open(HolderKind::kRequest, clock_.Now());
  holders_.emplace(id, Holder{.descriptor = descriptor});
  return id;
}

void ClientMemory::Close(Id id) {
  const std::lock_guard lock(mutex_);
  account_.Close(id);
  holders_.erase(id);
}

bool ClientMemory::Ask(Id id, std::size_t bytes, std::size_t arrived) {
  const std::lock_guard lock(mutex_);
  if (holders_.at(id).is_leaving) {
    return false;
  }
  account_.OnProgress(id, arrived, clock_.Now());
  while (true) {
    const MemoryAccount::Decision decision =
        account_.Ask(id, bytes, clock_.Now());
    switch (decision.answer) {
      case MemoryAccount::Answer::kGranted:
        return true;
      case MemoryAccount::Answer::kWait:
        account_.StopWaiting(id);
        [[fallthrough]];
      case MemoryAccount::Answer::kRefused:
        LogGaveWay("no-room", account_.HeldBy(id), ++refused_);
        return false;
      case MemoryAccount::Answer::kGiveWay:
        LogGaveWay(resources::NameOf(decision.reason),
                   account_.HeldBy(decision.holder), ++gave_way_);
        Expel(decision.holder);
        break;
    }
  }
}

// Guards against requests that run without an answer, because their rest was
// there when they gave way: they can be refused.
void ClientMemory::Expel(Id id) {
  Holder& holder = holders_.at(id);
  holder.is_leaving = true;
  (void)::shutdown(holder.descriptor, SHUT_RD);
}

void ClientMemory::OnWhole(Id id) {
  const std::lock_guard lock(mutex_);
  account_.SetKind(id, HolderKind::kRunning, clock_.Now());
}

std::size_t ClientMemory::Total() const {
  const std::lock_guard lock(mutex_);
  return account_.Total();
}

Duration SilenceOf(int descriptor) {
  int unread = 0;
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (::ioctl(descriptor, FIONREAD, &unread) != 0 || unread > 0 ||
      ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return Duration(0);
  }
  return std::chrono::milliseconds(
      std::min(info.tcpi_last_data_recv, info.tcpi_last_data_sent));
}

ListenerConnections::Id ListenerConnections::Add(int descriptor) {
  const std::lock_guard lock(mutex_);
  const Id id = limit_.Add();
  connections_.emplace(id, Connection{.descriptor = descriptor});
  if (const auto least = limit_.FindExcess(id)) {
    LogGaveWay("descriptors", 0, ++gave_way_);
    Leave(*least);
    leaving_.push_back(*least);
    CloseOldestLeaving();
  }
  return id;
}

// What has arrived stays readable after the end of the input, and a response
// can be sent: no whole request is dropped.
void ListenerConnections::Leave(Id id) {
  Connection& connection = connections_.at(id);
  connection.is_leaving = true;
  limit_.Remove(id);
  (void)::shutdown(connection.descriptor, SHUT_RD);
}

// Guards against connections that give way and stay, because their clients send
// parts of a request: new ones would find no room.
void ListenerConnections::CloseOldestLeaving() {
  if (leaving_.size() <= kLeavingConnections) {
    return;
  }
  const auto oldest = connections_.find(leaving_.front());
  leaving_.pop_front();
  if (oldest != connections_.end() &&
      oldest->second.state != ConnectionState::kServing) {
    (void)::shutdown(oldest->second.descriptor, SHUT_RDWR);
  }
}

void ListenerConnections::LetIdleLeave(Duration idle_timeout) {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  for (auto& [id, connection] : connections_) {
    if (now < connection.next_check) {
      continue;
    }
    const Duration silence = SilenceOf(connection.descriptor);
    connection.next_check =
        now + idle_timeout - std::min(silence, idle_timeout);
    if (silence < idle_timeout) {
      continue;
    }
    connection.next_check = now + idle_timeout;
    if (connection.state == ConnectionState::kServing) {
      CloseUnlessRead(connection.descriptor);
    } else if (connection.is_leaving) {
      (void)::shutdown(connection.descriptor, SHUT_RDWR);
    } else {
      Leave(id);
    }
  }
}

void ListenerConnections::LetAllLeave() {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, connection] : connections_) {
    Leave(id);
  }
}

bool ListenerConnections::IsLeaving(Id id) const {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(id);
  return found != connections_.end() && found->second.is_leaving;
}

bool ListenerConnections::IsEmpty() const {
  const std::lock_guard lock(mutex_);
  return connections_.empty();
}

void ListenerConnections::Remove(Id id) {
  const std::lock_guard lock(mutex_);
  limit_.Remove(id);
  connections_.erase(id);
}

void ListenerConnections::SetState(Id id, ConnectionState state) {
  const std::lock_guard lock(mutex_);
  limit_.SetState(id, state);
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    found->second.state = state;
  }
}

bool ListenerConnections::IsFull() const {
  const std::lock_guard lock(mutex_);
  return connections_.size() >= limit_.Limit() + kClosingConnections;
}

}  // namespace medlarcroft::adapters
