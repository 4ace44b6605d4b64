#ifndef MEDLARCROFT_LOAD_GENERATOR_LOOKUP_CACHE_H_
#define MEDLARCROFT_LOAD_GENERATOR_LOOKUP_CACHE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::load_generator {

/// @brief An entry host in a look-up response.
struct EntryHost {
  std::string host;
  std::string address;  ///< IP:port.
  double weight = 0;
};

/// @brief Response to a look-up.
struct LookupResponse {
  std::uint64_t revision = 0;
  Duration ttl{0};
  std::vector<EntryHost> entry_hosts;
  std::vector<std::string> keys;
};

enum class LookupResponseError { kNotJson, kMissingField, kNoEntryHost };

[[nodiscard]] Result<LookupResponse, LookupResponseError> ParseLookupResponse(
    std::string_view json);

/// @return the keys in a response to POST /v1/keys; empty when there are none.
[[nodiscard]] std::vector<std::string> ParseKeys(std::string_view json);

/// @brief A caller's cache of look-up responses, which expire after their TTL,
/// and of unused idempotency keys.
class LookupCache {
 public:
  /// A service and a brand.
  using Subject = std::pair<std::string, std::string>;

  void Put(const Subject& subject, LookupResponse response, MonotonicTime now);
  void AddKeys(const Subject& subject, std::vector<std::string> keys);

  [[nodiscard]] bool IsFresh(const Subject& subject, MonotonicTime now) const;

  /// @brief Chooses a host at random by weight; hosts of weight 0 only when no
  /// other is left.
  /// @param tried addresses to exclude, as they have failed before.
  [[nodiscard]] std::optional<EntryHost> Choose(
      const Subject& subject,
      const std::set<std::string>& tried,
      ports::RandomSource& random) const;

  [[nodiscard]] std::optional<std::string> TakeKey(const Subject& subject);

 private:
  struct Entry {
    std::vector<EntryHost> entry_hosts;
    std::vector<std::string> keys;
    MonotonicTime expires_at;
  };

  std::map<Subject, Entry> entries_;
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_LOOKUP_CACHE_H_
