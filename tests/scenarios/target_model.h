#ifndef MEDLARCROFT_TESTS_SCENARIOS_TARGET_MODEL_H_
#define MEDLARCROFT_TESTS_SCENARIOS_TARGET_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>

#include "scenarios/scenario.h"

namespace medlarcroft::scenarios {

/// @brief A target in virtual time: counts its running work and knows its
/// faults.
class TargetModel {
 public:
  TargetModel(std::string name,
              std::size_t index,
              std::uint32_t slots,
              std::span<const Fault> faults)
      : name_(std::move(name)), index_(index), slots_(slots), faults_(faults) {}

  [[nodiscard]] const std::string& Name() const { return name_; }
  [[nodiscard]] std::uint32_t Slots() const { return slots_; }
  [[nodiscard]] std::size_t Index() const { return index_; }
  [[nodiscard]] std::uint32_t Busy() const { return busy_; }
  [[nodiscard]] std::uint32_t PeakOverSlots() const { return peak_over_slots_; }

  /// @return the fault of that kind that is active at `at`, or nullptr.
  [[nodiscard]] const Fault* FaultAt(FaultKind kind, Duration at) const {
    for (const Fault& fault : faults_) {
      if (fault.kind == kind && index_ < fault.targets && at >= fault.from &&
          at < fault.until) {
        return &fault;
      }
    }
    return nullptr;
  }

  [[nodiscard]] bool IsPresent(Duration at) const {
    return std::ranges::none_of(faults_, [&](const Fault& fault) {
      return fault.kind == FaultKind::kColdStart && index_ < fault.targets &&
             at < fault.from;
    });
  }

  void Begin() {
    ++busy_;
    ++served_;
    if (busy_ > slots_) {
      peak_over_slots_ = std::max(peak_over_slots_, busy_ - slots_);
    }
  }
  void End() { --busy_; }

  /// @return the factor by which service times are longer at `at`.
  [[nodiscard]] double SlowdownAt(Duration at) const {
    double slowdown = 1.0;
    for (const FaultKind kind : {FaultKind::kSlow, FaultKind::kLying}) {
      if (const Fault* fault = FaultAt(kind, at))
        slowdown *= fault->factor;
    }
    const Fault* cold = FaultAt(FaultKind::kColdStart, at);
    if (cold != nullptr && served_ <= kColdRequests)
      slowdown *= cold->factor;
    return slowdown;
  }

 private:
  static constexpr std::uint64_t kColdRequests = 40;

  std::string name_;
  std::size_t index_;
  std::uint32_t slots_;
  std::span<const Fault> faults_;
  std::uint32_t busy_ = 0;
  std::uint32_t peak_over_slots_ = 0;
  std::uint64_t served_ = 0;
};

}  // namespace medlarcroft::scenarios

#endif  // MEDLARCROFT_TESTS_SCENARIOS_TARGET_MODEL_H_
