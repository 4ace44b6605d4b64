#ifndef MEDLARCROFT_STEERING_PREFIX_TABLE_H_
#define MEDLARCROFT_STEERING_PREFIX_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace medlarcroft::steering {

/// @brief An address prefix and the value that it maps to.
template <typename Key>
struct Prefix {
  Key start = 0;
  std::uint8_t length = 0;  ///< Bits, at most the width of `Key`.
  std::uint16_t value = 0;

  /// @return the last key that the prefix covers.
  [[nodiscard]] Key End() const { return start | HostMask(length); }
  /// @return whether the length is in range and no host bit is set.
  [[nodiscard]] bool IsValid() const {
    return length <= kWidth && (start & HostMask(length)) == 0;
  }

  [[nodiscard]] static Key HostMask(std::uint8_t length) {
    return length >= kWidth
               ? Key{0}
               : static_cast<Key>(std::numeric_limits<Key>::max() >> length);
  }

  static constexpr std::uint8_t kWidth = std::numeric_limits<Key>::digits;
};

/// @brief Longest-prefix match over sorted arrays.
///
/// An entry covers the keys from its start to the end of its prefix or to the
/// next entry, whichever comes first. Where a prefix continues after a nested
/// one, an additional entry resumes it, so a look-up is a single search for the
/// last start that is not above the key, without a walk to parent prefixes. A
/// trie of the same blocks needs several times the memory for its pointers; a
/// hash table for each length needs a probe for each length. Every 64th start
/// is also stored in a small array that stays in the CPU cache.
template <typename Key>
class PrefixTable {
 public:
  [[nodiscard]] std::optional<std::uint16_t> Find(Key key) const {
    const std::size_t after = IndexAfter(key);
    if (after == 0) {
      return std::nullopt;
    }

    const std::size_t index = after - 1;
    const Key end =
        starts_[index] | Prefix<Key>::HostMask(static_cast<std::uint8_t>(
                             lengths_[index] & kLengthMask));
    if (key > end) {
      return std::nullopt;
    }
    return values_[index];
  }

  /// @return the number of prefixes, including those that others cover
  /// completely.
  [[nodiscard]] std::size_t Size() const { return prefix_count_; }

  [[nodiscard]] std::size_t MemoryBytes() const {
    return starts_.capacity() * sizeof(Key) + lengths_.capacity() +
           values_.capacity() * sizeof(std::uint16_t) +
           samples_.capacity() * sizeof(Key);
  }

  /// @brief Calls `visit` with each prefix, sorted by start, then by length.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (std::size_t index = 0; index < starts_.size(); ++index) {
      if ((lengths_[index] & kResumed) == 0) {
        visit(Prefix<Key>{starts_[index], lengths_[index], values_[index]});
      }
    }
  }

 private:
  template <typename Other>
  friend class PrefixTableBuilder;

  static constexpr std::uint8_t kResumed = 0x80;
  static constexpr std::uint8_t kLengthMask = 0x7F;
  static constexpr std::size_t kSampleInterval = 64;

  /// @return the index after the last entry whose start is not above `key`.
  [[nodiscard]] std::size_t IndexAfter(Key key) const {
    const std::size_t group =
        CountNotAbove(samples_.data(), samples_.size(), key);
    const std::size_t first = group == 0 ? 0 : (group - 1) * kSampleInterval;
    const std::size_t last = std::min(first + kSampleInterval, starts_.size());
    return first + CountNotAbove(starts_.data() + first, last - first, key);
  }

  /// @return how many of the sorted keys are not above `key`. Callers'
  /// addresses arrive in random order, so the CPU would mispredict half of the
  /// branches of an ordinary binary search; this loop has no branch that
  /// depends on the keys.
  [[nodiscard]] static std::size_t CountNotAbove(const Key* keys,
                                                 std::size_t count,
                                                 Key key) {
    const Key* base = keys;
    while (count > 1) {
      const std::size_t half = count / 2;
      base += (base[half - 1] <= key) ? half : 0;
      count -= half;
    }
    const std::size_t last_key_count = (count == 1 && *base <= key) ? 1 : 0;
    return static_cast<std::size_t>(base - keys) + last_key_count;
  }

  std::vector<Key> starts_;
  std::vector<std::uint8_t> lengths_;  // kResumed marks a resumed prefix.
  std::vector<std::uint16_t> values_;
  std::vector<Key> samples_;
  std::size_t prefix_count_ = 0;
};

/// @brief Builds a table from sorted prefixes.
///
/// The number of entries is known only when all prefixes have been seen. A
/// vector that grows by doubling would need three times the memory of the table
/// at its peak, so a builder that only counts goes over the prefixes first.
template <typename Key>
class PrefixTableBuilder {
 public:
  enum class Mode { kCount, kBuild };

  explicit PrefixTableBuilder(Mode mode = Mode::kBuild) : mode_(mode) {}

  /// @param entries number of entries, from a builder in `Mode::kCount`.
  void Reserve(std::size_t entries) {
    table_.starts_.reserve(entries);
    table_.lengths_.reserve(entries);
    table_.values_.reserve(entries);
  }

  /// @return the number of entries so far, including those that resume a
  /// prefix.
  [[nodiscard]] std::size_t Entries() const { return entry_count_; }

  /// @return whether the prefix was added; false if it is invalid or does not
  /// follow the previous one by start, then by length.
  [[nodiscard]] bool Add(const Prefix<Key>& prefix) {
    if (!prefix.IsValid() || !IsAfterLast(prefix)) {
      return false;
    }

    CloseEndingBefore(prefix.start);
    Append(prefix, 0);
    open_prefixes_.push_back(prefix);
    last_ = prefix;
    ++table_.prefix_count_;
    return true;
  }

  [[nodiscard]] PrefixTable<Key> Finish() {
    CloseEndingBefore(std::nullopt);
    constexpr std::size_t kInterval = PrefixTable<Key>::kSampleInterval;
    table_.samples_.reserve(table_.starts_.size() / kInterval + 1);
    for (std::size_t index = 0; index < table_.starts_.size();
         index += kInterval) {
      table_.samples_.push_back(table_.starts_[index]);
    }
    return std::move(table_);
  }

 private:
  [[nodiscard]] bool IsAfterLast(const Prefix<Key>& prefix) const {
    return !last_ || prefix.start > last_->start ||
           (prefix.start == last_->start && prefix.length > last_->length);
  }

  void Append(const Prefix<Key>& prefix, std::uint8_t flag) {
    ++entry_count_;
    if (mode_ == Mode::kCount) {
      return;
    }

    table_.starts_.push_back(prefix.start);
    table_.lengths_.push_back(prefix.length | flag);
    table_.values_.push_back(prefix.value);
  }

  /// Closes the prefixes that end before `next`, or all of them if there is
  /// none, and resumes the prefixes that contain them.
  void CloseEndingBefore(std::optional<Key> next) {
    while (!open_prefixes_.empty() &&
           (!next || open_prefixes_.back().End() < *next)) {
      const Key end = open_prefixes_.back().End();
      open_prefixes_.pop_back();

      const bool continues =
          !open_prefixes_.empty() && open_prefixes_.back().End() > end;
      if (continues && (!next || end + 1 < *next)) {
        Prefix<Key> resumed = open_prefixes_.back();
        resumed.start = end + 1;
        Append(resumed, PrefixTable<Key>::kResumed);
      }
    }
  }

  Mode mode_;
  std::size_t entry_count_ = 0;
  PrefixTable<Key> table_;
  std::vector<Prefix<Key>> open_prefixes_;  // Each nested in the one before it.
  std::optional<Prefix<Key>> last_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_PREFIX_TABLE_H_
