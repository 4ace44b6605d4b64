#ifndef MEDLARCROFT_TESTS_STANDINS_PLATFORM_FAULT_SWITCH_H_
#define MEDLARCROFT_TESTS_STANDINS_PLATFORM_FAULT_SWITCH_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace medlarcroft::standins {

/// @brief Faults that the stand-in injects, set by `PUT /control/faults`.
struct Faults {
  bool is_down = false;  ///< Rejects all calls with `kNotDoneCode`.
  std::chrono::milliseconds delay{};  ///< Delays both effect and response.
  /// The next commits and puts that take effect but whose response is lost.
  std::uint64_t responses_to_drop = 0;
  bool has_stale_host_list = false;
};

/// @return nullopt when `body` is not a valid fault document.
inline std::optional<Faults> ParseFaults(const std::string& body) {
  using nlohmann::json;
  try {
    const json value = json::parse(body);
    Faults faults;
    faults.is_down = value.value("down", false);
    faults.delay =
        std::chrono::milliseconds(value.value("slow_ms", std::int64_t{0}));
    faults.has_stale_host_list = value.value("stale_host_list", false);
    const json lost = value.value("answer_lost_after_effect", json(false));
    if (lost.is_boolean()) {
      faults.responses_to_drop =
          lost.get<bool>() ? std::numeric_limits<std::uint64_t>::max() : 0;
    } else {
      faults.responses_to_drop = lost.get<std::uint64_t>();
    }
    return faults;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

/// @brief The active faults, shared by the threads of the HTTP server.
class FaultSwitch {
 public:
  void Set(const Faults& faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
  }

  Faults Get() const {
    const std::lock_guard lock(mutex_);
    return faults_;
  }

  /// @return whether the response to the write just done must be dropped.
  bool ConsumeDroppedResponse() {
    const std::lock_guard lock(mutex_);
    if (faults_.responses_to_drop == 0) {
      return false;
    }
    --faults_.responses_to_drop;
    return true;
  }

 private:
  mutable std::mutex mutex_;
  Faults faults_;
};

}  // namespace medlarcroft::standins

#endif  // MEDLARCROFT_TESTS_STANDINS_PLATFORM_FAULT_SWITCH_H_
