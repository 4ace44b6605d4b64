#ifndef MEDLARCROFT_ADAPTERS_EVENT_HELD_MEMORY_H_
#define MEDLARCROFT_ADAPTERS_EVENT_HELD_MEMORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "adapters/event/event_loop.h"
#include "medlarcroft/resources/memory_account.h"

namespace medlarcroft::adapters {

class MemoryLease;

/// @brief The memory account of a process with one event loop: carries out what
/// `MemoryAccount` decides.
class HeldMemory : public std::enable_shared_from_this<HeldMemory> {
 public:
  /// @brief What a holder does; unset: nothing.
  struct Callbacks {
    /// Room may be there: ask again.
    std::function<void()> on_room;
    /// Free the bytes before returning.
    std::function<void(resources::GiveWayReason)> give_way;
  };

  HeldMemory(EventLoop& loop, const resources::MemoryLimits& limits)
      : loop_(loop), account_(limits) {}

  [[nodiscard]] std::shared_ptr<MemoryLease> Open(resources::HolderKind kind,
                                                  Callbacks callbacks);
  /// @brief Makes room for further responses by giving up clients that read
  /// nothing.
  /// @return whether there is room; if not, a new request should be refused.
  [[nodiscard]] bool MakeRoomForResponses();

  [[nodiscard]] const resources::MemoryAccount& Account() const {
    return account_;
  }
  /// @return how often a holder gave way for that reason.
  [[nodiscard]] std::uint64_t GaveWay(resources::GiveWayReason reason) const {
    return gave_way_.at(static_cast<std::size_t>(reason));
  }

 private:
  friend class MemoryLease;
  using Id = resources::MemoryAccount::Id;

  void GiveWay(const resources::MemoryAccount::Victim& victim);
  void OnFreed();
  void GiveWayExcess();
  void StartAdvancing();
  void Advance();

  EventLoop& loop_;
  resources::MemoryAccount account_;
  std::unordered_map<Id, Callbacks> callbacks_;
  std::array<std::uint64_t, 7> gave_way_{};
  bool is_waking_ = false;
  bool is_advancing_ = false;
  /// At most since memory was last returned to the system.
  std::size_t peak_ = 0;
};

/// @brief What one holder has of the account; returned when it is destroyed.
class MemoryLease {
 public:
  enum class Room { kGranted, kWait, kRefused };

  MemoryLease(std::shared_ptr<HeldMemory> memory,
              resources::MemoryAccount::Id id)
      : memory_(std::move(memory)), id_(id) {}
  ~MemoryLease();
  MemoryLease(const MemoryLease&) = delete;
  MemoryLease& operator=(const MemoryLease&) = delete;

  /// @brief Asks for `bytes` more; `kWait` and `kRefused` charge nothing.
  [[nodiscard]] Room Ask(std::size_t bytes);
  void Set(std::size_t bytes);
  void SetKind(resources::HolderKind kind, HeldMemory::Callbacks callbacks);
  void OnProgress(std::size_t bytes);
  [[nodiscard]] std::size_t Bytes() const {
    return memory_->account_.HeldBy(id_);
  }
  [[nodiscard]] HeldMemory& Memory() const { return *memory_; }

 private:
  const std::shared_ptr<HeldMemory> memory_;
  const resources::MemoryAccount::Id id_;
};

/// @return what a buffer takes in addition when it grows by `bytes`: a larger
/// one beside it, until its content is copied.
[[nodiscard]] std::size_t GrowthOf(const std::string& buffer,
                                   std::size_t bytes);

/// @return the same for a body that ends after `limit` bytes.
[[nodiscard]] std::size_t GrowthOfBody(const std::string& body,
                                       std::size_t bytes,
                                       std::size_t limit);

/// @brief Bytes that are held once, for all who send them.
struct HeldBytes {
  std::string bytes;
  std::shared_ptr<MemoryLease> lease;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_HELD_MEMORY_H_
