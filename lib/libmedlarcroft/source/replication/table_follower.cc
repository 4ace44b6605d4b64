#include "medlarcroft/replication/table_follower.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::replication {

namespace {

constexpr std::uint32_t kMaxDoublings = 5;
// After a failure of the reader. Long enough for a paused reader to be
// considered dead.
constexpr Duration kDirectReadTime = std::chrono::seconds(3);
// For a call that must be answered at once. A wait of 0 is not distinguished
// from a missing one.
constexpr Duration kCatchUpWait = std::chrono::milliseconds(1);
// Between requests to other hosts.
constexpr Duration kPeerRequestPause = std::chrono::milliseconds(400);

}  // namespace

TableFollower::TableFollower(const Parts& parts, Options options)
    : parts_(parts),
      options_(std::move(options)),
      availability_(options_.expiry.value_or(RowExpiry{}).shortest_outage) {}

TableFollower::~TableFollower() {
  *self_ = nullptr;
}

std::optional<Duration> TableFollower::Age() const {
  return answered_at_ ? std::optional(parts_.timers.Now() - *answered_at_)
                      : std::nullopt;
}

MonotonicTime TableFollower::OverdueAt() const {
  const Duration limit = is_answer_of_host_
                             ? MaxAgeBehindReader(options_.timing)
                             : FreshnessLimit(options_.timing);
  return answered_at_ ? *answered_at_ + limit : MonotonicTime();
}

// Hosts that start in a large region read the table from its reader, so that
// the start of many hosts does not cost the store a full read for each.
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
  // An answer may be older than the rows already known. Applying it would
  // restore targets that left, or revert a configuration. So it is requested
  // again.
  if (page.newest_version < version_) {
    OnFailure(RowFailure::kBadAnswer);
    return;
  }
  // The changes made while the pages are read are requested from the version of
  // the first page on.
  if (pages_.empty()) {
    pages_version_ = page.newest_version;
    pages_store_time_ = page.store_time;
  }
  std::move(page.rows.begin(), page.rows.end(), std::back_inserter(pages_));
  if (page.has_more && !pages_.empty()) {
    // The smallest key after the last one.
    ReadPage(pages_.back().key + '\0');
    return;
  }
  OnAnswer(pages_store_time_);
  // Another host may have sent newer rows while the pages were read. Applying
  // the older pages would undo those rows, and the next changes from that host
  // would be applied on top of the older table, so that the rows in between
  // would be missing.
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
  // Once the store is back, a held call is answered only when something
  // changes. The return would be noticed seconds late and together with that
  // change. A target whose row is removed by it would then count as one that
  // expired during the outage, and get requests for longer than its departure
  // allows. A call that is not held shows the return within the pause between
  // calls.
  FollowStore(disconnected_since_ ? kCatchUpWait : options_.timing.wait);
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
      // This host lacks rows, and other hosts wait for them.
      is_catching_up_ = true;
      ReadTable();
      return;
    }
    OnFailure(ErrorOf(result));
    return;
  }
  const RowBatch& changes = ValueOf(result);
  OnAnswer(changes.store_time);
  // The answer was delayed, and another host has sent newer rows since.
  if (changes.newest_version < version_) {
    After(options_.timing.first_retry_pause, &TableFollower::Follow);
    return;
  }
  version_ = changes.newest_version;
  mirror_.Apply(changes.rows, version_);
  if (changes.rows.empty()) {
    Follow();
    return;
  }
  parts_.listener.OnRows(changes.rows);
  if (options_.timing.pause_after_change > Duration(0)) {
    After(options_.timing.pause_after_change, &TableFollower::Follow);
  } else {
    Follow();
  }
}

void TableFollower::OnAnswer(std::optional<Duration> store_time) {
  const MonotonicTime now = parts_.timers.Now();
  failures_ = 0;
  if (disconnected_since_) {
    const Duration outage_time = now - *disconnected_since_;
    disconnected_since_.reset();
    parts_.listener.OnStoreRecovered(outage_time);
  }
  const std::optional<MonotonicTime> answered_before = store_answered_at_;
  store_answered_at_ =
      store_time ? store_clock_.EstimateAnswerTime(*store_time, now) : now;
  // An answer may have waited while this host was paused.
  answered_at_ = store_answered_at_;
  is_answer_of_host_ = false;
  is_catching_up_ = false;
  const bool is_after_gap =
      availability_.OnAnswer(store_time.value_or(now.time_since_epoch()));
  if (!options_.expiry) {
    return;
  }
  if (is_after_gap && answered_before) {
    out_of_touch_at_ = std::max(out_of_touch_at_, *answered_before);
  }
  OnAvailabilityChange();
}

// After a host's own loss of the store, a target that was removed meanwhile or
// is removed next would look like one that expired while the store was away,
// and get requests for seconds longer than its departure allows. The store's
// answers to other hosts tell the two apart. Where no other host can be asked,
// the time ends before this host counts as in touch again.
void TableFollower::OnAvailabilityChange() {
  const std::optional<MonotonicTime> end = ExpiryEnd();
  if (end != expiry_end_) {
    expiry_end_ = end;
    parts_.listener.OnExpiryKnown(end);
  }
  if (end && !is_requesting_from_peers_) {
    RequestPeerRows();
  }
}

std::optional<MonotonicTime> TableFollower::ExpiryEnd() const {
  if (!options_.expiry || !availability_.HasGap()) {
    return std::nullopt;
  }
  const RowExpiry& expiry = *options_.expiry;
  const MonotonicTime now = parts_.timers.Now();
  const MonotonicTime returned_at =
      store_clock_.TimeOf(availability_.Current()->since).value_or(now);
  const MonotonicTime end = std::min(returned_at + expiry.rewritten_within,
                                     out_of_touch_at_ + expiry.in_touch_after);
  return end > now ? std::optional(end) : std::nullopt;
}

Duration TableFollower::PauseAfterFailure(std::uint32_t failures_before) const {
  const FollowTiming& timing = options_.timing;
  const bool is_followed =
      served_others_at_ &&
      parts_.timers.Now() - *served_others_at_ < kDirectReadTime;
  const Duration first = is_followed ? timing.first_retry_pause
                                     : timing.first_retry_pause_of_followers;
  const Duration max_wait = is_followed ? timing.max_retry_pause
                                        : timing.max_retry_pause_of_followers;
  const std::uint32_t doublings = std::min(failures_before, kMaxDoublings);
  return std::min(first * (1U << doublings), max_wait);
}

void TableFollower::OnFailure(RowFailure failure) {
  const MonotonicTime now = parts_.timers.Now();
  is_catching_up_ = false;
  out_of_touch_at_ = std::max(out_of_touch_at_, called_at_);
  parts_.listener.OnCallFailed({.failure = failure,
                                .call_time = now - called_at_,
                                .known_version = version_,
                                .is_first = !disconnected_since_});
  if (!disconnected_since_) {
    disconnected_since_ = now;
    // Requests from an earlier outage may still be pending.
    if (!is_requesting_from_peers_) {
      RequestPeerRows();
    }
  }
  const Duration pause = PauseAfterFailure(failures_++);
  // Hosts that lost the store together must not all call it at the same time.
  const Duration jittered =
      FromSeconds(ToSeconds(pause) * (0.75 + 0.5 * parts_.random.NextUnit()));
  After(jittered, has_table_ && pages_.empty() ? &TableFollower::Follow
                                               : &TableFollower::ReadTable);
}

// The store may refuse this host, or a network failure may separate them, while
// other hosts still read the store. This host would then send to targets that
// leave, are evacuated or lost their warm objects, and deny routes that were
// added. So it reads from other hosts in the meantime. Rows older than its own
// are ignored, and a host that itself gets no answers from the store does not
// answer. After the return, other hosts are asked whether the store was away
// for them too.
void TableFollower::RequestPeerRows() {
  const bool is_needed = disconnected_since_ || ExpiryEnd();
  is_requesting_from_peers_ = is_needed && options_.ask_peer;
  if (!is_requesting_from_peers_) {
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
  After(kPeerRequestPause, &TableFollower::RequestPeerRows);
  if (!IsOk(result)) {
    return;
  }
  if (disconnected_since_) {
    (void)ApplyPeerRows(ValueOf(result));
  } else {
    ApplyPeerAvailability(ValueOf(result));
  }
}

// The other host's rows count as fresh for some time after the store's last
// answer to it. If that time started anew when they arrive here, hosts that
// lost the store at different moments would not notice for twice as long, and
// reject routes that were added meanwhile for good.
std::optional<MonotonicTime> TableFollower::StoreAnswerTime(
    const RowBatch& rows,
    std::optional<MonotonicTime> answered_before) const {
  const MonotonicTime now = parts_.timers.Now();
  if (!rows.store_available) {
    return now;
  }
  const MonotonicTime answered = std::min(
      now, store_clock_.TimeOf(rows.store_available->until).value_or(now));
  return answered_before ? std::max(*answered_before, answered) : answered;
}

void TableFollower::ApplyPeerAvailability(const RowBatch& rows) {
  if (rows.store_available) {
    (void)store_clock_.EstimateAnswerTime(rows.store_available->until,
                                          parts_.timers.Now());
  }
  if (options_.expiry && rows.store_available) {
    availability_.OnKnownByPeer(*rows.store_available);
    OnAvailabilityChange();
  }
}

bool TableFollower::ApplyPeerRows(const RowBatch& rows) {
  if (rows.newest_version < version_) {
    return false;
  }
  ApplyPeerAvailability(rows);
  answered_at_ = StoreAnswerTime(rows, answered_at_);
  is_answer_of_host_ = !disconnected_since_;
  if (rows.is_full_table) {
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

// Where a region has many hosts, one of them reads a table for all. When that
// reader is paused, disconnected or refused by the store, all its followers act
// on old rows. A reader refuses its followers as soon as it has had no answer
// of the store itself for slightly longer than the hold. A host whose call to
// the reader fails or times out reads the store itself from then on. So changes
// are late by the reader's limit or by a call's timeout, whichever is longer.
bool TableFollower::FollowReader() {
  if (!options_.ask_reader || disconnected_since_ ||
      parts_.timers.Now() < direct_read_until_) {
    return false;
  }
  const std::uint64_t call = ++reader_calls_;
  const bool has_reader = options_.ask_reader(
      {.table = options_.table,
       .known_version = version_,
       .wait = options_.timing.reader_wait},
      [self = self_, call](const Result<RowBatch, RowFailure>& rows) {
        if (*self != nullptr && (*self)->reader_call_ == call) {
          (*self)->OnReaderRows(rows);
        }
      });
  if (has_reader) {
    reader_call_ = call;
  }
  return has_reader;
}

void TableFollower::OnReaderRows(const Result<RowBatch, RowFailure>& result) {
  reader_call_.reset();
  if (!IsOk(result)) {
    OnReaderLost(ErrorOf(result));
    return;
  }
  if (ApplyPeerRows(ValueOf(result))) {
    Follow();
    return;
  }
  // The rows are older than the known ones, but the reader is fresh and will
  // catch up shortly.
  After(kPeerRequestPause, &TableFollower::Follow);
}

void TableFollower::OnReaderLost(RowFailure failure) {
  parts_.listener.OnReaderLost(failure, version_);
  // A reader that refused is called again after the next call. If it were
  // avoided for longer, each host would have to handle an outage of the store
  // that affects all of them by itself for seconds.
  if (failure != RowFailure::kRefused) {
    direct_read_until_ = parts_.timers.Now() + kDirectReadTime;
  }
  // A held call would leave this host overdue until its end.
  if (has_table_) {
    FollowStore(kCatchUpWait);
  } else {
    ReadTable();
  }
}

std::optional<AvailableTime> TableFollower::AvailabilityForPeers() const {
  // Without the store's clock, the times are this host's own.
  const bool has_store_clock = store_clock_.TimeOf(Duration(0)).has_value();
  return has_store_clock ? availability_.Current() : std::nullopt;
}

FreshTable TableFollower::ServeFollowers() {
  served_others_at_ = parts_.timers.Now();
  direct_read_until_ = *served_others_at_ + kDirectReadTime;
  if (reader_call_) {
    // The reader changes as hosts join and leave. Other hosts must not wait
    // until this host's pending call to its previous reader has ended.
    reader_call_.reset();
    is_catching_up_ = true;
    if (has_table_) {
      FollowStore(kCatchUpWait);
    } else {
      ReadTable();
    }
  }
  if (!has_table_ || is_catching_up_) {
    return {.is_loading = !disconnected_since_};
  }
  if (disconnected_since_ || !store_answered_at_) {
    return {};
  }
  const Duration remaining = *store_answered_at_ +
                             FreshnessLimit(options_.timing) -
                             parts_.timers.Now();
  return remaining > Duration(0)
             ? FreshTable{.mirror = &mirror_,
                          .fresh_for = remaining,
                          .store_available = AvailabilityForPeers()}
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
