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

/// @brief An entry host as a look-up names it.
struct EntryHost {
  std::string host;
  std::string address;  ///< IP:port.
  double weight = 0;
};

/// @brief A look-up's answer.
struct LookupAnswer {
  std::uint64_t revision = 0;
  Duration ttl{0};
  std::vector<EntryHost> entry_hosts;
  std::vector<std::string> keys;
};

enum class LookupAnswerError { kNotJson, kMissingField, kNoEntryHost };

[[nodiscard]] Result<LookupAnswer, LookupAnswerError> ParseLookupResponse(
    std::string_view json);

/// @return the keys of an answer to POST /v1/keys; empty when there are none.
[[nodiscard]] std::vector<std::string> ParseKeys(std::string_view json);

/// @brief What a caller keeps of its look-ups: answers until their TTL ends,
/// and idempotency keys until they are used.
class LookupCache {
 public:
  /// A service and a brand.
  using Subject = std::pair<std::string, std::string>;

  void Put(const Subject& subject, LookupAnswer answer, MonotonicTime now);
  void AddKeys(const Subject& subject, std::vector<std::string> keys);

  [[nodiscard]] bool IsFresh(const Subject& subject, MonotonicTime now) const;

  /// @brief Chooses by weight; hosts of weight 0 only when no other is left.
  /// @param tried addresses to leave out, as they failed already.
  [[nodiscard]] std::optional<EntryHost> Choose(
      const Subject& subject,
      const std::set<std::string>& tried,
      ports::RandomSource& random) const;

  [[nodiscard]] std::optional<std::string> TakeKey(const Subject& subject);

 private:
  struct Line {
    std::vector<EntryHost> entry_hosts;
    std::vector<std::string> keys;
    MonotonicTime good_until;
  };

  std::map<Subject, Line> lines_;
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_LOOKUP_CACHE_H_
