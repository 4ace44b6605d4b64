#include "medlarcroft/replication/table_follower.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::replication {

namespace {

constexpr std::uint32_t kMaxDoublings = 5;
// After a reader failed: long enough for a paused one to be taken for dead.
constexpr Duration kDirectTime = std::chrono::seconds(3);
// For a call that only asks what there is; 0 is not told from no wait given.
constexpr Duration kCatchUpWait = std::chrono::milliseconds(1);
// Between questions to other hosts.
constexpr Duration kPeerPause = std::chrono::milliseconds(400);

}  // namespace

TableFollower::TableFollower(const Parts& parts, Options options)
    : parts_(parts), options_(std::move(options)) {}

TableFollower::~TableFollower() {
  *self_ = nullptr;
}

std::optional<Duration> TableFollower::Age() const {
  return answered_at_ ? std::optional(parts_.timers.Now() - *answered_at_)
                      : std::nullopt;
}

bool TableFollower::IsOverdue() const {
  const auto age = Age();
  return !age || *age >= FreshFor(options_.pace);
}

// Hosts that start in a large region hear the table from its reader, so that a
// start of many does not cost the store a list for each.
void TableFollower::Read() {
  if (!FollowReader()) {
    ReadTable();
  }
}

void TableFollower::ReadTable() {
  pages_.clear();
  pages_version_ = 0;
  ReadPage("");
}

void TableFollower::ReadPage(const std::string& first_key) {
  called_at_ = parts_.timers.Now();
  parts_.store.List(options_.table, first_key,
                    [self = self_](Result<RowBatch, RowFailure> result) {
                      if (*self != nullptr) {
                        (*self)->OnPage(std::move(result));
                      }
                    });
}

void TableFollower::OnPage(Result<RowBatch, RowFailure> result) {
  if (!IsOk(result)) {
    OnFailure(ErrorOf(result));
    return;
  }
  RowBatch page = TakeValue(std::move(result));
  // Failure: an answer from before what is known already. Symptom: targets that
  // left come back, a configuration is taken back. It is asked for again.
  if (page.newest_version < version_) {
    OnFailure(RowFailure::kBadAnswer);
    return;
  }
  // Changes that come while the pages are read follow the first one.
  if (pages_.empty()) {
    pages_version_ = page.newest_version;
    pages_told_at_ = page.told_at;
  }
  std::move(page.rows.begin(), page.rows.end(), std::back_inserter(pages_));
  if (page.has_more && !pages_.empty()) {
    // The smallest key after the last one.
    ReadPage(pages_.back().key + '\0');
    return;
  }
  OnAnswer(pages_told_at_);
  // Failure: another host told newer rows while the pages were read. Symptom:
  // this host goes back to the older ones, and what that host tells next is
  // put on top of them, so that rows in between are never heard.
  if (has_table_ && pages_version_ < version_) {
    std::vector<Row>().swap(pages_);
    Follow();
    return;
  }
  has_table_ = true;
  version_ = pages_version_;
  mirror_.Replace(pages_, version_);
  parts_.listener.OnTable(pages_);
  std::vector<Row>().swap(pages_);
  Follow();
}

void TableFollower::Follow() {
  if (FollowReader()) {
    return;
  }
  // Failure: a call to a store that is back is held until something changes.
  // Symptom: the return is noticed seconds late and together with that change,
  // so that a target whose entry is taken away then counts as lapsed during the
  // absence, and gets requests for longer than its leaving allows. A call that
  // is not held tells of the return within the pause between calls.
  FollowStore(away_since_ ? kCatchUpWait : options_.pace.wait);
}

void TableFollower::FollowStore(Duration wait) {
  called_at_ = parts_.timers.Now();
  parts_.store.Follow(
      options_.table, version_, wait,
      [self = self_](const Result<RowBatch, RowFailure>& result) {
        if (*self != nullptr) {
          (*self)->OnChanges(result);
        }
      });
}

void TableFollower::OnChanges(const Result<RowBatch, RowFailure>& result) {
  if (!IsOk(result)) {
    if (ErrorOf(result) == RowFailure::kHistoryUnavailable) {
      // There are rows that this host does not know: others wait for them.
      is_catching_up_ = true;
      ReadTable();
      return;
    }
    OnFailure(ErrorOf(result));
    return;
  }
  const RowBatch& changes = ValueOf(result);
  OnAnswer(changes.told_at);
  // The answer was held up, and another host has told newer rows meanwhile.
  if (changes.newest_version < version_) {
    After(options_.pace.first_pause, &TableFollower::Follow);
    return;
  }
  version_ = changes.newest_version;
  mirror_.Apply(changes.rows, version_);
  if (changes.rows.empty()) {
    Follow();
    return;
  }
  parts_.listener.OnRows(changes.rows);
  if (options_.pace.pause_after_change > Duration(0)) {
    After(options_.pace.pause_after_change, &TableFollower::Follow);
  } else {
    Follow();
  }
}

void TableFollower::OnAnswer(std::optional<Duration> told_at) {
  const MonotonicTime now = parts_.timers.Now();
  failures_ = 0;
  if (away_since_) {
    const Duration away = now - *away_since_;
    away_since_.reset();
    parts_.listener.OnStoreRecovered(away);
  }
  answered_at_ = now;
  read_at_ = told_at ? store_clock_.GivenAt(*told_at, now) : now;
  is_catching_up_ = false;
}

Duration TableFollower::PauseAfterFailure(std::uint32_t failures_before) const {
  const FollowTiming& pace = options_.pace;
  const bool is_followed =
      told_others_at_ && parts_.timers.Now() - *told_others_at_ < kDirectTime;
  const Duration first =
      is_followed ? pace.first_pause : pace.first_pause_of_followers;
  const Duration longest =
      is_followed ? pace.longest_pause : pace.longest_pause_of_followers;
  const std::uint32_t doublings = std::min(failures_before, kMaxDoublings);
  return std::min(first * (1U << doublings), longest);
}

void TableFollower::OnFailure(RowFailure failure) {
  const MonotonicTime now = parts_.timers.Now();
  is_catching_up_ = false;
  parts_.listener.OnCallFailed({.failure = failure,
                                .call_time = now - called_at_,
                                .known_version = version_,
                                .is_first = !away_since_});
  if (!away_since_) {
    away_since_ = now;
    // A store that comes and goes finds the questions of before still running.
    if (!is_asking_peers_) {
      AskPeer();
    }
  }
  const Duration pause = PauseAfterFailure(failures_++);
  // Readers that lost the store together must not come back together.
  const Duration jittered =
      FromSeconds(ToSeconds(pause) * (0.75 + 0.5 * parts_.random.NextUnit()));
  After(jittered, has_table_ && pages_.empty() ? &TableFollower::Follow
                                               : &TableFollower::ReadTable);
}

// Failure: the store turns this host away, or a cut lies between, while other
// hosts go on hearing from it. Symptom: this host sends to targets that leave,
// that are evacuated or that turned cold, and denies routes that were added. So
// it hears from them for as long; rows that are older than its own are passed
// over, and a host that does not hear from the store itself tells nothing.
void TableFollower::AskPeer() {
  is_asking_peers_ = away_since_ && options_.ask_peer;
  if (!is_asking_peers_) {
    return;
  }
  options_.ask_peer({.table = options_.table, .known_version = version_},
                    [self = self_](const Result<RowBatch, RowFailure>& rows) {
                      if (*self != nullptr) {
                        (*self)->OnPeerRows(rows);
                      }
                    });
}

void TableFollower::OnPeerRows(const Result<RowBatch, RowFailure>& result) {
  After(kPeerPause, &TableFollower::AskPeer);
  if (away_since_ && IsOk(result)) {
    (void)TakePeerRows(ValueOf(result));
  }
}

bool TableFollower::TakePeerRows(const RowBatch& rows) {
  if (rows.newest_version < version_) {
    return false;
  }
  answered_at_ = parts_.timers.Now();
  if (rows.is_whole) {
    version_ = rows.newest_version;
    has_table_ = true;
    mirror_.Replace(rows.rows, version_);
    parts_.listener.OnTable(rows.rows);
  } else if (rows.newest_version > version_ && has_table_) {
    version_ = rows.newest_version;
    mirror_.Apply(rows.rows, version_);
    parts_.listener.OnRows(rows.rows);
  }
  return true;
}

// Where a region has many hosts, one of them reads a table for all. Failure:
// the reader is paused, cut off or turned away. Symptom: all that follow it act
// on old news. A reader says so as soon as it has not heard from the store
// itself for the time that a call is held and a little, and a host whose call
// to it fails or lags reads for itself from then on, so that news is late by
// that or by a call's timeout, whichever is longer.
bool TableFollower::FollowReader() {
  if (!options_.ask_reader || away_since_ ||
      parts_.timers.Now() < direct_until_) {
    return false;
  }
  const std::uint64_t call = ++reader_calls_;
  const bool is_asked = options_.ask_reader(
      {.table = options_.table,
       .known_version = version_,
       .wait = options_.pace.reader_wait},
      [self = self_, call](const Result<RowBatch, RowFailure>& rows) {
        if (*self != nullptr && (*self)->reader_call_ == call) {
          (*self)->OnReaderRows(rows);
        }
      });
  if (is_asked) {
    reader_call_ = call;
  }
  return is_asked;
}

void TableFollower::OnReaderRows(const Result<RowBatch, RowFailure>& result) {
  reader_call_.reset();
  if (!IsOk(result)) {
    OnReaderLost(ErrorOf(result));
    return;
  }
  if (TakePeerRows(ValueOf(result))) {
    Follow();
    return;
  }
  // The reader is fresh and will be there in a moment.
  After(kPeerPause, &TableFollower::Follow);
}

void TableFollower::OnReaderLost(RowFailure failure) {
  parts_.listener.OnReaderLost(failure, version_);
  // One that answers is asked again after the next call: were it left alone, a
  // trouble of the store that all meet would be met by each of them for
  // seconds.
  if (failure != RowFailure::kRefused) {
    direct_until_ = parts_.timers.Now() + kDirectTime;
  }
  if (has_table_) {
    FollowStore(options_.pace.wait);
  } else {
    ReadTable();
  }
}

FreshTable TableFollower::ServeFollowers() {
  told_others_at_ = parts_.timers.Now();
  direct_until_ = *told_others_at_ + kDirectTime;
  if (reader_call_) {
    // Hosts that come and go change who reads: the others must not wait until
    // this one's own call to the reader before has ended.
    reader_call_.reset();
    is_catching_up_ = true;
    if (has_table_) {
      FollowStore(kCatchUpWait);
    } else {
      ReadTable();
    }
  }
  if (!has_table_ || is_catching_up_) {
    return {.is_loading = !away_since_};
  }
  if (away_since_ || !read_at_) {
    return {};
  }
  const Duration left =
      *read_at_ + FreshFor(options_.pace) - parts_.timers.Now();
  return left > Duration(0) ? FreshTable{.mirror = &mirror_, .fresh_for = left}
                            : FreshTable{};
}

void TableFollower::After(Duration delay, void (TableFollower::*next)()) {
  parts_.timers.RunAfter(delay, [self = self_, next] {
    if (*self != nullptr) {
      ((*self)->*next)();
    }
  });
}

}  // namespace medlarcroft::replication
