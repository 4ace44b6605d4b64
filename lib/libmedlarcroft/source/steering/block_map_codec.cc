#include "medlarcroft/steering/block_map_codec.h"

#include <optional>
#include <utility>

#include "block_map_format.h"

namespace medlarcroft::steering {

namespace {

using block_map_format::Header;
using block_map_format::kRecordBytes;
using block_map_format::ParsedObject;
using block_map_format::ParseObject;
using block_map_format::ReadBlock;

/// @param add_prefixes adds all prefixes to a builder, or returns an error.
template <typename Key, typename AddPrefixes>
Result<PrefixTable<Key>, BlockMapError> BuildTable(AddPrefixes add_prefixes) {
  using Builder = PrefixTableBuilder<Key>;
  Builder counter(Builder::Mode::kCount);
  if (const auto error = add_prefixes(counter)) {
    return *error;
  }

  (void)counter.Finish();  // Counts the entries that closing prefixes adds.

  Builder builder;
  builder.Reserve(counter.Entries());
  if (const auto error = add_prefixes(builder)) {
    return *error;
  }
  return builder.Finish();
}

template <typename Key>
std::optional<BlockMapError> AddBlock(PrefixTableBuilder<Key>& builder,
                                      const Prefix<Key>& block,
                                      std::size_t sites) {
  if (block.value >= sites) {
    return BlockMapError::kUnknownSite;
  }

  if (!builder.Add(block)) {
    return BlockMapError::kMalformedBlock;
  }
  return std::nullopt;
}

template <typename Key>
Result<PrefixTable<Key>, BlockMapError> ReadTable(std::string_view records,
                                                  std::size_t sites) {
  const std::size_t count = records.size() / kRecordBytes<Key>;

  return BuildTable<Key>(
      [&](PrefixTableBuilder<Key>& builder) -> std::optional<BlockMapError> {
        for (std::size_t index = 0; index < count; ++index) {
          const auto block = ReadBlock<Key>(records, index);
          if (const auto error = AddBlock(builder, block, sites)) {
            return error;
          }
        }
        return std::nullopt;
      });
}

template <typename Key>
bool IsBefore(const Prefix<Key>& left, const Prefix<Key>& right) {
  return std::pair(left.start, left.length) <
         std::pair(right.start, right.length);
}

/// Merges the records of a delta into a table; both are sorted.
template <typename Key>
class DeltaMerge {
 public:
  DeltaMerge(std::string_view records,
             std::size_t sites,
             PrefixTableBuilder<Key>& builder)
      : records_(records),
        count_(records.size() / kRecordBytes<Key>),
        sites_(sites),
        builder_(&builder) {}

  std::optional<BlockMapError> Run(const PrefixTable<Key>& base) {
    base.ForEach([&](const Prefix<Key>& block) {
      AddNewBlocksBefore(block);

      if (!ApplyChange(block)) {
        Add(block);
      }
    });
    AddNewBlocksBefore(std::nullopt);
    return error_;
  }

 private:
  [[nodiscard]] Prefix<Key> Next() const {
    return ReadBlock<Key>(records_, next_);
  }

  void Add(const Prefix<Key>& block) {
    if (!error_) {
      error_ = AddBlock(*builder_, block, sites_);
    }
  }

  /// Adds the delta's blocks that come before `block`; the base lacks them.
  void AddNewBlocksBefore(const std::optional<Prefix<Key>>& block) {
    while (!error_ && next_ < count_ && (!block || IsBefore(Next(), *block))) {
      const Prefix<Key> change = Next();
      ++next_;

      if (change.value == kRemovedBlock) {
        error_ = BlockMapError::kUnknownBlock;
        return;
      }
      Add(change);
    }
  }

  /// @return whether the delta changes or removes `block`.
  bool ApplyChange(const Prefix<Key>& block) {
    if (error_ || next_ == count_ || IsBefore(block, Next())) {
      return false;
    }

    const Prefix<Key> change = Next();
    ++next_;
    if (change.value != kRemovedBlock) {
      Add(change);
    }
    return true;
  }

  std::string_view records_;
  std::size_t count_;
  std::size_t sites_;
  std::size_t next_ = 0;
  PrefixTableBuilder<Key>* builder_;
  std::optional<BlockMapError> error_;
};

template <typename Key>
Result<PrefixTable<Key>, BlockMapError> MergeTable(const PrefixTable<Key>& base,
                                                   std::string_view records,
                                                   std::size_t sites) {
  return BuildTable<Key>([&](PrefixTableBuilder<Key>& builder) {
    return DeltaMerge<Key>(records, sites, builder).Run(base);
  });
}

std::optional<BlockMapError> CheckDeltaVersions(const BlockMap& base,
                                                const Header& header) {
  if (!header.base_version) {
    return BlockMapError::kNotDelta;
  }

  if (*header.base_version != base.Version()) {
    return BlockMapError::kWrongBase;
  }

  if (header.version <= base.Version()) {
    return BlockMapError::kNotNewer;
  }

  return std::nullopt;
}

Result<BlockMap, BlockMapError> MakeBlockMap(
    Header header,
    Result<PrefixTable<std::uint32_t>, BlockMapError> ipv4,
    Result<PrefixTable<std::uint64_t>, BlockMapError> ipv6) {
  if (!IsOk(ipv4)) {
    return ErrorOf(ipv4);
  }

  if (!IsOk(ipv6)) {
    return ErrorOf(ipv6);
  }

  return BlockMap(header.version, std::move(header.sites),
                  TakeValue(std::move(ipv4)), TakeValue(std::move(ipv6)));
}

}  // namespace

std::string_view ToString(BlockMapError error) {
  constexpr std::string_view kNames[] = {
      "truncated",       "too-large",        "wrong-magic",
      "wrong-checksum",  "malformed-header", "too-many-sites",
      "too-many-blocks", "unknown-domain",   "unknown-site",
      "malformed-block", "trailing-bytes",   "not-full",
      "not-delta",       "wrong-base",       "not-newer",
      "unknown-block"};
  return kNames[static_cast<std::size_t>(error)];
}

Result<BlockMap, BlockMapError> DecodeBlockMap(std::string_view object) {
  auto parsed = ParseObject(object);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }

  ParsedObject content = TakeValue(std::move(parsed));
  if (content.header.base_version) {
    return BlockMapError::kNotFull;
  }

  const std::size_t sites = content.header.sites.size();
  auto ipv4 = ReadTable<std::uint32_t>(content.ipv4, sites);
  auto ipv6 = ReadTable<std::uint64_t>(content.ipv6, sites);
  return MakeBlockMap(std::move(content.header), std::move(ipv4),
                      std::move(ipv6));
}

Result<BlockMap, BlockMapError> ApplyBlockMapDelta(const BlockMap& base,
                                                   std::string_view object) {
  auto parsed = ParseObject(object);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }

  ParsedObject content = TakeValue(std::move(parsed));
  if (const auto error = CheckDeltaVersions(base, content.header)) {
    return *error;
  }

  const std::size_t sites = content.header.sites.size();
  auto ipv4 = MergeTable(base.Ipv4(), content.ipv4, sites);
  auto ipv6 = MergeTable(base.Ipv6(), content.ipv6, sites);
  return MakeBlockMap(std::move(content.header), std::move(ipv4),
                      std::move(ipv6));
}

}  // namespace medlarcroft::steering
