#include "adapters/event/held_memory.h"

#include <algorithm>
#include <utility>

#include "adapters/process/memory_return.h"

namespace medlarcroft::adapters {

namespace {

using resources::HolderKind;
using resources::MemoryAccount;

// Freed memory is worth a return to the system when this part of the limit was
// held since the last one, and it has fallen to the other.
constexpr std::size_t kReturnFromDivisor = 4;
constexpr std::size_t kReturnToDivisor = 16;

}  // namespace

std::size_t GrowthOf(const std::string& buffer, std::size_t bytes) {
  if (buffer.size() + bytes > buffer.capacity()) {
    return std::max(2 * buffer.capacity(), buffer.size() + bytes);
  }
  return bytes;
}

std::size_t GrowthOfBody(const std::string& body,
                         std::size_t bytes,
                         std::size_t limit) {
  const std::size_t left = limit - std::min(limit, body.size());
  return GrowthOf(body, std::min(bytes, left));
}

std::shared_ptr<MemoryLease> HeldMemory::Open(HolderKind kind,
                                              Callbacks callbacks) {
  const Id id = account_.Open(kind, loop_.Now());
  callbacks_.emplace(id, std::move(callbacks));
  return std::make_shared<MemoryLease>(shared_from_this(), id);
}

bool HeldMemory::MakeRoomForResponses() {
  while (const auto victim = account_.FindUnread(loop_.Now())) {
    GiveWay(*victim);
  }
  return account_.HasRoomForResponses();
}

void HeldMemory::GiveWay(const MemoryAccount::Victim& victim) {
  ++gave_way_.at(static_cast<std::size_t>(victim.reason));
  const auto found = callbacks_.find(victim.holder);
  if (found != callbacks_.end() && found->second.give_way) {
    const auto give_way = found->second.give_way;
    give_way(victim.reason);
  }
}

void HeldMemory::GiveWayExcess() {
  while (const auto victim = account_.FindExcess(loop_.Now())) {
    GiveWay(*victim);
  }
}

// Memory that stays with the process makes the next crowd start higher.
void HeldMemory::OnFreed() {
  const std::size_t total = account_.Limits().total;
  if (peak_ > total / kReturnFromDivisor &&
      account_.Total() < total / kReturnToDivisor) {
    peak_ = 0;
    loop_.After(Duration(0), [] { ReturnFreeMemoryToSystem(); });
  }
  if (is_waking_ || !account_.HasWaiting()) {
    return;
  }
  is_waking_ = true;
  loop_.After(Duration(0), [self = weak_from_this()] {
    const auto memory = self.lock();
    if (!memory) {
      return;
    }
    memory->is_waking_ = false;
    for (const Id id : memory->account_.TakeRoom()) {
      const auto found = memory->callbacks_.find(id);
      if (found != memory->callbacks_.end() && found->second.on_room) {
        const auto on_room = found->second.on_room;
        on_room();
      }
    }
  });
}

void HeldMemory::StartAdvancing() {
  if (!std::exchange(is_advancing_, true)) {
    loop_.After(MemoryAccount::kAdvancePeriod, [self = weak_from_this()] {
      if (const auto memory = self.lock()) {
        memory->Advance();
      }
    });
  }
}

void HeldMemory::Advance() {
  is_advancing_ = false;
  for (const MemoryAccount::Victim& victim : account_.Advance(loop_.Now())) {
    GiveWay(victim);
  }
  OnFreed();
  if (account_.HasWaiting()) {
    StartAdvancing();
  }
}

MemoryLease::~MemoryLease() {
  memory_->account_.Close(id_);
  memory_->callbacks_.erase(id_);
  memory_->OnFreed();
}

MemoryLease::Room MemoryLease::Ask(std::size_t bytes) {
  while (true) {
    const MemoryAccount::Decision decision =
        memory_->account_.Ask(id_, bytes, memory_->loop_.Now());
    switch (decision.answer) {
      case MemoryAccount::Answer::kGranted:
        memory_->peak_ = std::max(memory_->peak_, memory_->account_.Total());
        return Room::kGranted;
      case MemoryAccount::Answer::kWait:
        memory_->StartAdvancing();
        return Room::kWait;
      case MemoryAccount::Answer::kRefused:
        ++memory_->gave_way_.at(static_cast<std::size_t>(decision.reason));
        return Room::kRefused;
      case MemoryAccount::Answer::kGiveWay:
        memory_->GiveWay(
            {.holder = decision.holder, .reason = decision.reason});
        break;
    }
  }
}

void MemoryLease::Set(std::size_t bytes) {
  const std::size_t before = memory_->account_.HeldBy(id_);
  memory_->account_.Set(id_, bytes);
  if (bytes < before) {
    memory_->OnFreed();
  } else if (bytes > before) {
    memory_->peak_ = std::max(memory_->peak_, memory_->account_.Total());
    const auto memory = memory_;
    memory->GiveWayExcess();
  }
}

void MemoryLease::SetKind(HolderKind kind, HeldMemory::Callbacks callbacks) {
  memory_->account_.SetKind(id_, kind, memory_->loop_.Now());
  memory_->callbacks_[id_] = std::move(callbacks);
  if (kind == HolderKind::kResponse) {
    const auto memory = memory_;
    memory->GiveWayExcess();
  }
}

void MemoryLease::OnProgress(std::size_t bytes) {
  memory_->account_.OnProgress(id_, bytes, memory_->loop_.Now());
}

}  // namespace medlarcroft::adapters
