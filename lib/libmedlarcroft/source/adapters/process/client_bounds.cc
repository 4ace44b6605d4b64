#include "adapters/process/client_bounds.h"

#include <sys/socket.h>

#include <string_view>

#include "adapters/process/log.h"

namespace medlarcroft::adapters {

namespace {

using resources::ConnectionState;
using resources::HolderKind;
using resources::MemoryAccount;

// Connections beyond the limit whose end no thread has noticed yet.
constexpr std::size_t kClosingConnections = 64;

// Each `kLogEvery`th line beyond the first ones: a crowd would fill the log.
constexpr std::uint64_t kFirstLines = 20;
constexpr std::uint64_t kLogEvery = 1000;

bool IsLogged(std::uint64_t count) {
  return count <= kFirstLines || count % kLogEvery == 0;
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
  descriptors_.emplace(id, descriptor);
  return id;
}

void ClientMemory::Close(Id id) {
  const std::lock_guard lock(mutex_);
  account_.Close(id);
  descriptors_.erase(id);
}

bool ClientMemory::Ask(Id id, std::size_t bytes, std::size_t arrived) {
  const std::lock_guard lock(mutex_);
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
        (void)::shutdown(descriptors_.at(decision.holder), SHUT_RDWR);
        break;
    }
  }
}

void ClientMemory::OnWhole(Id id) {
  const std::lock_guard lock(mutex_);
  account_.SetKind(id, HolderKind::kRunning, clock_.Now());
}

std::size_t ClientMemory::Total() const {
  const std::lock_guard lock(mutex_);
  return account_.Total();
}

ListenerConnections::Id ListenerConnections::Add(int descriptor) {
  const std::lock_guard lock(mutex_);
  const Id id = limit_.Add();
  descriptors_.emplace(id, descriptor);
  if (const auto least = limit_.FindExcess(id)) {
    LogGaveWay("descriptors", 0, ++gave_way_);
    limit_.Remove(*least);
    (void)::shutdown(descriptors_.at(*least), SHUT_RDWR);
  }
  return id;
}

void ListenerConnections::Remove(Id id) {
  const std::lock_guard lock(mutex_);
  limit_.Remove(id);
  descriptors_.erase(id);
}

void ListenerConnections::SetState(Id id, ConnectionState state) {
  const std::lock_guard lock(mutex_);
  limit_.SetState(id, state);
}

bool ListenerConnections::IsFull() const {
  const std::lock_guard lock(mutex_);
  return descriptors_.size() >= limit_.Limit() + kClosingConnections;
}

}  // namespace medlarcroft::adapters
