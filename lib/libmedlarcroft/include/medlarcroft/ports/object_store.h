#ifndef MEDLARCROFT_PORTS_OBJECT_STORE_H_
#define MEDLARCROFT_PORTS_OBJECT_STORE_H_

#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/core/result.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::ports {

/// @brief Client for the platform's object store. Objects are read and written
/// as a whole; each is written once, under a new name.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// @return the bytes of the object, or nullopt if it does not exist.
  [[nodiscard]] virtual Result<std::optional<std::string>, StoreFailure> Get(
      std::string_view name) = 0;

  [[nodiscard]] virtual Result<Success, StoreFailure> Put(
      std::string_view name,
      std::string_view bytes) = 0;
};

}  // namespace medlarcroft::ports

#endif  // MEDLARCROFT_PORTS_OBJECT_STORE_H_
