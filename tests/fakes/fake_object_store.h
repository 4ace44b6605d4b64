#ifndef MEDLARCROFT_TESTS_FAKES_FAKE_OBJECT_STORE_H_
#define MEDLARCROFT_TESTS_FAKES_FAKE_OBJECT_STORE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/ports/object_store.h"

namespace medlarcroft::fakes {

/// @brief An in-memory object store; a test can corrupt or remove its objects.
class FakeObjectStore final : public ports::ObjectStore {
 public:
  void SetDown(bool is_down) { is_down_ = is_down; }

  std::map<std::string, std::string, std::less<>>& Objects() {
    return objects_;
  }
  [[nodiscard]] std::size_t Reads() const { return reads_; }

  [[nodiscard]] Result<std::optional<std::string>, ports::StoreFailure> Get(
      std::string_view name) override {
    ++reads_;
    if (is_down_) {
      return ports::StoreFailure::kUnavailable;
    }
    const auto found = objects_.find(name);
    return found == objects_.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  [[nodiscard]] Result<Success, ports::StoreFailure> Put(
      std::string_view name,
      std::string_view bytes) override {
    if (is_down_) {
      return ports::StoreFailure::kUnavailable;
    }
    objects_[std::string(name)] = std::string(bytes);
    return Success();
  }

 private:
  std::map<std::string, std::string, std::less<>> objects_;
  std::size_t reads_ = 0;
  bool is_down_ = false;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_FAKE_OBJECT_STORE_H_
