#ifndef MEDLARCROFT_CAPACITY_TOKEN_SHARE_H_
#define MEDLARCROFT_CAPACITY_TOKEN_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "medlarcroft/capacity/share_message.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::capacity {

struct TokenShareOptions {
  /// This seat's share, in tokens per second (`SplitRate`).
  double rate = 0.0;
  double burst = 0.0;  ///< This seat's share of the burst, in tokens.
  /// How long lent tokens may be spent. This bounds how much lending can move
  /// tokens from one window into the next.
  Duration token_lifetime = std::chrono::seconds(1);
};

/// @brief A host's share of a rate limit, such as a link's cap, a region's
/// headroom or the step of a traffic shift. There is one token bucket per seat,
/// and the shares of rate and burst add up to those of the limit. Lending moves
/// whole tokens, which are never returned: a lost answer destroys tokens, a
/// repeated request gets the same answer, and nothing creates tokens. So over
/// any time span t, all hosts together spend at most rate * (t +
/// token_lifetime) + burst. Not thread-safe.
class TokenShare {
 public:
  /// @brief Starts empty, because the seat's previous holder may have spent all
  /// tokens.
  TokenShare(TokenShareOptions options, MonotonicTime now);

  /// @brief Changes the share; the tokens earned so far are kept, up to the new
  /// burst.
  void SetRate(double rate, double burst, MonotonicTime now);

  /// @brief Own tokens are earned and usable only until this time (seat
  /// validity).
  void SetValidUntil(MonotonicTime time) { valid_until_ = time; }

  /// @brief Spends `tokens`, borrowed ones first; takes all or none.
  [[nodiscard]] bool TryTake(std::uint32_t tokens, MonotonicTime now);

  /// @brief Lends tokens. A repeated request gets the same answer.
  [[nodiscard]] ShareGrant Lend(const ShareRequest& request, MonotonicTime now);

  /// @brief Adds the tokens of a grant requested at `sent_at`, once per
  /// request.
  void Receive(const ShareGrant& grant,
               MonotonicTime sent_at,
               MonotonicTime now);

  [[nodiscard]] double Available(MonotonicTime now);

 private:
  struct GrantRecord {
    std::uint32_t amount = 0;
    MonotonicTime remove_at;
  };
  struct Borrowed {
    std::uint32_t amount = 0;
    MonotonicTime valid_until;
  };
  using RequestKey =
      std::pair<HostName, std::pair<std::uint64_t, std::uint64_t>>;

  void Refill(MonotonicTime now);
  void RemoveExpired(MonotonicTime now);

  TokenShareOptions options_;
  double tokens_ = 0.0;
  MonotonicTime refilled_at_;
  MonotonicTime valid_until_{MonotonicTime::min()};
  std::map<RequestKey, GrantRecord> grants_;
  std::map<std::uint64_t, Borrowed> borrowed_;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_TOKEN_SHARE_H_
