#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/request_path/target_directory.h"

namespace medlarcroft::request_path {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("desk");
const TargetName kTarget("t");

class NoObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange /*change*/,
                      const TargetRecord& /*target*/) override {}
};

/// @brief One thing that a host hears.
struct News {
  std::optional<TargetRecord> entry;  ///< An entry; absent: removal or object.
  std::optional<TargetIdentity> handled;  ///< Told by another host.
  bool is_bad_entry = false;
};

TargetRecord EntryOf(TargetIncarnation incarnation, bool is_leaving) {
  return {.id = kTarget,
          .incarnation = incarnation,
          .service = kService,
          .address = "127.0.0.1:80",
          .domain = FailureDomainName("a"),
          .slots = 3,
          .is_leaving = is_leaving};
}

/// @return what a process writes to the registry, in order; the removal of its
/// entry last, if it comes.
std::vector<News> HistoryOf(TargetIncarnation incarnation,
                            bool leaves,
                            bool is_removed) {
  std::vector<News> history = {{.entry = EntryOf(incarnation, false)}};
  if (leaves) {
    history.push_back({.entry = EntryOf(incarnation, true)});
  }
  if (is_removed) {
    history.push_back({});
  }
  return history;
}

bool IsHeads(fakes::SeededRandom& random) {
  return random.NextBelow(2) == 0;
}

ObjectKey ObjectOf(TargetIncarnation incarnation) {
  return ObjectKey("object-" + std::to_string(incarnation));
}

void Hear(TargetDirectory& book, const News& news) {
  if (news.is_bad_entry) {
    book.Suspend(kTarget);
  } else if (news.handled) {
    if (TargetState* const state = book.Find(*news.handled)) {
      state->OnSentByOtherHost(ObjectOf(news.handled->incarnation));
    }
  } else if (news.entry) {
    book.Put(*news.entry, kStart);
  } else {
    book.Remove(kTarget, std::nullopt);
  }
}

/// @return the news in the registry's order, of which this host misses some,
/// and hears old entries, bad ones and other hosts' objects between.
std::vector<News> HeardBy(const std::vector<News>& registry,
                          TargetIncarnation last,
                          fakes::SeededRandom& random) {
  std::vector<News> heard;
  for (std::size_t i = 0; i < registry.size(); ++i) {
    const bool is_heard = i + 1 == registry.size() || IsHeads(random);
    if (is_heard) {
      heard.push_back(registry[i]);
    }
    const TargetIncarnation told = 1 + random.NextBelow(last);
    heard.push_back({.handled = TargetIdentity{kTarget, told}});
    if (told < last) {
      heard.push_back({.entry = EntryOf(told, IsHeads(random))});
    }
    if (i + 1 < registry.size() && IsHeads(random)) {
      heard.push_back({.is_bad_entry = true});
    }
  }
  // Nothing undoes the last word: late news of the processes before.
  if (last > 1) {
    const TargetIncarnation late = 1 + random.NextBelow(last - 1);
    heard.push_back({.entry = EntryOf(late, IsHeads(random))});
    heard.push_back({.handled = TargetIdentity{kTarget, late}});
  }
  return heard;
}

void CheckHosts(std::uint64_t seed) {
  fakes::SeededRandom random(seed);
  const TargetIncarnation last = 1 + random.NextBelow(4);
  const bool lives = IsHeads(random);
  std::vector<News> registry;
  for (TargetIncarnation number = 1; number <= last; ++number) {
    const bool is_last = number == last;
    const bool leaves = is_last ? !lives : IsHeads(random);
    const bool is_removed = !is_last && IsHeads(random);
    for (const News& news : HistoryOf(number, leaves, is_removed)) {
      registry.push_back(news);
    }
  }

  for (int host = 0; host < 3; ++host) {
    NoObserver observer;
    TargetDirectory book({{FailureDomainName("a"), RegionName("north")}},
                         observer);
    book.ReplaceAll({}, {}, std::nullopt, kStart);
    for (const News& news : HeardBy(registry, last, random)) {
      Hear(book, news);
    }

    RC_ASSERT(book.Usable(kService).size() == (lives ? 1U : 0U));
    TargetState* const state = book.Find({kTarget, last});
    RC_ASSERT(state != nullptr);
    for (TargetIncarnation earlier = 1; earlier < last; ++earlier) {
      RC_ASSERT(book.Find({kTarget, earlier}) == nullptr);
      RC_ASSERT(!state->HasHandled(ObjectOf(earlier)));
    }
  }
}

// A target starts again and again under its id, with or without a word before.
// Each host hears of it late, in part, and mixed with old entries, unreadable
// ones and what other hosts tell of objects. Callers must reach the process
// that lives, and no one that left; and what is believed of a process that is
// gone must not place a request at the next one.
TEST(TargetRestartProperty, HostsAgreeOnTheProcessThatLives) {
  EXPECT_TRUE(rc::check(&CheckHosts));
}

}  // namespace
}  // namespace medlarcroft::request_path
