#ifndef MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_WORLD_H_
#define MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/rows/reader_choice.h"
#include "medlarcroft/rows/table_follower.h"

/// @file
/// @brief Hosts of one region that follow a table, in virtual time: a store
/// with history, calls that are late, lost or refused, hosts that pause, die
/// and start again. One seed is one schedule.

namespace medlarcroft::rows {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Tasks in virtual time. A paused host's tasks wait until it goes on;
/// a dead one's are dropped.
class VirtualTime {
 public:
  static constexpr int kNobody = -1;

  [[nodiscard]] MonotonicTime Now() const { return now_; }

  void At(int host, MonotonicTime at, std::function<void()> task) {
    events_.push({.at = at,
                  .number = ++last_number_,
                  .host = host,
                  .life = LifeOf(host),
                  .task = std::move(task)});
  }
  void Pause(int host, MonotonicTime until) { paused_until_[host] = until; }
  void Kill(int host) { ++lives_[host]; }
  [[nodiscard]] bool IsPaused(int host) const {
    const auto found = paused_until_.find(host);
    return found != paused_until_.end() && now_ < found->second;
  }

  void RunUntil(MonotonicTime end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      if (event.life != LifeOf(event.host)) {
        continue;
      }
      if (IsPaused(event.host)) {
        event.at = paused_until_[event.host];
        events_.push(std::move(event));
        continue;
      }
      event.task();
    }
    now_ = end;
  }

 private:
  struct Event {
    MonotonicTime at;
    std::uint64_t number = 0;
    int host = kNobody;
    std::uint64_t life = 0;
    std::function<void()> task;

    bool operator<(const Event& other) const {
      return std::pair(other.at, other.number) < std::pair(at, number);
    }
  };

  [[nodiscard]] std::uint64_t LifeOf(int host) const {
    const auto found = lives_.find(host);
    return found == lives_.end() ? 0 : found->second;
  }

  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t last_number_ = 0;
  std::priority_queue<Event> events_;
  std::map<int, MonotonicTime> paused_until_;
  std::map<int, std::uint64_t> lives_;
};

/// @brief One host's timers.
class HostTimers final : public ports::Timers {
 public:
  HostTimers(VirtualTime& time, int host) : time_(time), host_(host) {}

  [[nodiscard]] MonotonicTime Now() const override { return time_.Now(); }
  void RunAfter(Duration delay, std::function<void()> task) override {
    time_.At(host_, time_.Now() + delay, std::move(task));
  }

 private:
  VirtualTime& time_;
  int host_;
};

/// @brief How the store treats a host.
enum class Treatment { kServed, kRefused, kSilent };

/// @brief The store's one table with its whole history, which a test can have
/// it forget. Each row's value is the version that wrote it.
class ModelStore {
 public:
  void Put(const std::string& key) { Change(key, false); }
  void Remove(const std::string& key) { Change(key, true); }
  void Forget() { oldest_ = newest_; }

  [[nodiscard]] std::uint64_t Newest() const { return newest_; }
  [[nodiscard]] bool IsForgotten(std::uint64_t version) const {
    return version < oldest_;
  }

  /// @return the row's last change up to `version`; 0 as its version: none.
  [[nodiscard]] Row LastChange(const std::string& key,
                               std::uint64_t version) const {
    const auto found = history_.find(key);
    Row last{.key = key, .is_removed = true};
    if (found == history_.end()) {
      return last;
    }
    for (const Row& change : found->second) {
      if (change.version <= version) {
        last = change;
      }
    }
    return last;
  }

  [[nodiscard]] RowBatch List(const std::string& first_key,
                              std::size_t limit) const {
    RowBatch batch{.newest_version = newest_};
    for (const auto& [key, changes] : history_) {
      if (key < first_key || changes.back().is_removed) {
        continue;
      }
      if (batch.rows.size() == limit) {
        batch.has_more = true;
        break;
      }
      batch.rows.push_back(changes.back());
    }
    return batch;
  }

  [[nodiscard]] RowBatch ChangesAfter(std::uint64_t version) const {
    RowBatch batch{.newest_version = newest_};
    for (const auto& [key, changes] : history_) {
      if (changes.back().version > version) {
        batch.rows.push_back(changes.back());
      }
    }
    std::ranges::sort(batch.rows, {}, &Row::version);
    return batch;
  }

  [[nodiscard]] std::vector<std::string> Keys() const {
    std::vector<std::string> keys;
    for (const auto& [key, changes] : history_) {
      keys.push_back(key);
    }
    return keys;
  }

 private:
  void Change(const std::string& key, bool is_removed) {
    ++newest_;
    history_[key].push_back({.key = key,
                             .value = is_removed ? "" : std::to_string(newest_),
                             .version = newest_,
                             .is_removed = is_removed});
  }

  std::uint64_t newest_ = 0;
  std::uint64_t oldest_ = 0;
  std::map<std::string, std::vector<Row>> history_;
};

/// @brief Carries calls between hosts and the store, late or not at all.
class ModelNetwork {
 public:
  ModelNetwork(VirtualTime& time, ModelStore& store, std::uint64_t seed)
      : time_(time), store_(store), random_(seed) {}

  void Treat(int host, Treatment treatment) { treatments_[host] = treatment; }
  [[nodiscard]] Treatment TreatmentOf(int host) const {
    const auto found = treatments_.find(host);
    return found == treatments_.end() ? Treatment::kServed : found->second;
  }

  void List(int host, const std::string& first_key, RowsCallback callback) {
    const auto call = Begin(host, kListTimeout, std::move(callback));
    Deliver(host, call, [this, host, first_key, call] {
      Answer(host, call, store_.List(first_key, kPageRows));
    });
  }

  void Follow(int host,
              std::uint64_t version,
              Duration wait,
              RowsCallback callback) {
    const auto call = Begin(host, wait + kFollowMargin, std::move(callback));
    Deliver(host, call, [this, host, version, wait, call] {
      if (store_.IsForgotten(version)) {
        Answer(host, call, RowFailure::kForgotten);
        return;
      }
      if (store_.Newest() > version) {
        Answer(host, call, store_.ChangesAfter(version));
        return;
      }
      held_.push_back({.host = host, .version = version, .call = call});
      time_.At(VirtualTime::kNobody, time_.Now() + wait,
               [this, host, version, call] {
                 if (!call->is_answered) {
                   Answer(host, call, store_.ChangesAfter(version));
                 }
               });
    });
  }

  /// @brief Answers the calls that the store holds.
  void OnCommit() {
    for (const Held& held : std::exchange(held_, {})) {
      if (!held.call->is_answered) {
        Answer(held.host, held.call, store_.ChangesAfter(held.version));
      }
    }
  }

  /// @brief Brings a question from one host to another one's teller.
  void AskHost(
      int from,
      int to,
      const PeerQuestion& question,
      const std::function<void(const PeerQuestion&, RowsCallback)>& ask,
      RowsCallback callback) {
    const auto call = Begin(from, question.wait + question.answer_margin,
                            std::move(callback));
    time_.At(
        to, time_.Now() + kBetweenHosts, [this, from, question, ask, call] {
          ask(question,
              [this, from, call](const Result<RowBatch, RowFailure>& rows) {
                time_.At(from, time_.Now() + kBetweenHosts,
                         [call, rows] { End(*call, rows); });
              });
        });
  }

 private:
  struct Call {
    RowsCallback callback;
    bool is_answered = false;  ///< By the store.
    bool has_ended = false;    ///< For whoever called.
  };
  struct Held {
    int host = 0;
    std::uint64_t version = 0;
    std::shared_ptr<Call> call;
  };

  static constexpr Duration kListTimeout = milliseconds(1500);
  static constexpr Duration kFollowMargin = milliseconds(1200);
  static constexpr Duration kBetweenHosts = milliseconds(1);
  static constexpr std::size_t kPageRows = 5;
  // Two probes of a second without an answer, see adapters/event/tcp_stream.
  static constexpr Duration kProbedFor = seconds(3);

  static void End(Call& call, const Result<RowBatch, RowFailure>& result) {
    if (!call.has_ended) {
      call.has_ended = true;
      call.callback(result);
    }
  }

  std::shared_ptr<Call> Begin(int host,
                              Duration timeout,
                              RowsCallback callback) {
    auto call = std::make_shared<Call>();
    call->callback = std::move(callback);
    time_.At(host, time_.Now() + timeout,
             [call] { End(*call, RowFailure::kUnreachable); });
    return call;
  }

  void Deliver(int host,
               const std::shared_ptr<Call>& call,
               std::function<void()> serve) {
    Carry(host, call, time_.Now() + kProbedFor,
          [this, host, call, serve = std::move(serve)] {
            if (TreatmentOf(host) == Treatment::kRefused) {
              Answer(host, call, RowFailure::kRefused);
            } else {
              serve();
            }
          });
  }

  void Answer(int host,
              const std::shared_ptr<Call>& call,
              const Result<RowBatch, RowFailure>& result) {
    call->is_answered = true;
    Result<RowBatch, RowFailure> told = result;
    if (IsOk(told)) {
      RowBatch batch = TakeValue(std::move(told));
      batch.told_at = time_.Now().time_since_epoch();
      told = std::move(batch);
    }
    Carry(host, call, time_.Now() + kProbedFor, [this, host, call, told] {
      time_.At(host, time_.Now(), [call, told] { End(*call, told); });
    });
  }

  /// What is sent while nothing gets through arrives afterwards, unless the
  /// connection's probes have found it dead by then.
  void Carry(int host,
             const std::shared_ptr<Call>& call,
             MonotonicTime found_dead_at,
             std::function<void()> arrive) {
    time_.At(VirtualTime::kNobody, time_.Now() + OneWay(),
             [this, host, call, found_dead_at, arrive = std::move(arrive)] {
               if (TreatmentOf(host) != Treatment::kSilent) {
                 arrive();
               } else if (time_.Now() < found_dead_at) {
                 Carry(host, call, found_dead_at, arrive);
               } else {
                 time_.At(host, time_.Now(),
                          [call] { End(*call, RowFailure::kUnreachable); });
               }
             });
  }

  Duration OneWay() {
    return milliseconds(1) + FromSeconds(0.055 * random_.NextUnit());
  }

  VirtualTime& time_;
  ModelStore& store_;
  fakes::SeededRandom random_;
  std::map<int, Treatment> treatments_;
  std::vector<Held> held_;
};

/// @brief One host's way to the store.
class HostSource final : public RowSource {
 public:
  HostSource(ModelNetwork& network, int host)
      : network_(network), host_(host) {}

  void List(std::string_view,
            std::string_view first_key,
            RowsCallback callback) override {
    network_.List(host_, std::string(first_key), std::move(callback));
  }
  void Follow(std::string_view,
              std::uint64_t version,
              Duration wait,
              RowsCallback callback) override {
    network_.Follow(host_, version, wait, std::move(callback));
  }

 private:
  ModelNetwork& network_;
  int host_;
};

/// @brief What one life of a host heard, each row by the version of its last
/// change; a removed row is known by the version up to which it was heard.
class HeardRows final : public TableListener {
 public:
  void OnTable(std::span<const Row> rows) override {
    std::map<std::string, std::uint64_t> listed;
    for (const Row& row : rows) {
      listed[row.key] = row.version;
    }
    for (const auto& [key, version] : versions) {
      if (listed.contains(key) && listed[key] < version) {
        went_back = true;
      }
    }
    versions = std::move(listed);
  }
  void OnRows(std::span<const Row> rows) override {
    for (const Row& row : rows) {
      const auto known = versions.find(row.key);
      if (known != versions.end() && row.version < known->second) {
        went_back = true;
      }
      if (row.is_removed) {
        versions.erase(row.key);
      } else {
        versions[row.key] = row.version;
      }
    }
  }
  void OnStoreLost(RowFailure) override {}
  void OnStoreBack(Duration) override {}
  void OnReaderLost(RowFailure, std::uint64_t) override { ++readers_lost; }

  std::map<std::string, std::uint64_t> versions;
  bool went_back = false;
  int readers_lost = 0;
};

/// @brief The hosts of one region.
class Region {
 public:
  Region(VirtualTime& time,
         ModelNetwork& network,
         int hosts,
         std::uint64_t seed)
      : time_(time), network_(network), random_(seed) {
    hosts_.resize(static_cast<std::size_t>(hosts));
    for (int host = 0; host < hosts; ++host) {
      Start(host);
    }
  }

  [[nodiscard]] int Size() const { return static_cast<int>(hosts_.size()); }
  [[nodiscard]] bool IsAlive(int host) const { return At(host) != nullptr; }
  [[nodiscard]] const TableFollower& FollowerOf(int host) const {
    return *At(host)->follower;
  }
  [[nodiscard]] const HeardRows& HeardBy(int host) const {
    return At(host)->heard;
  }

  void Kill(int host) {
    time_.Kill(host);
    hosts_[static_cast<std::size_t>(host)].reset();
  }
  void Start(int host) {
    auto life = std::make_unique<Life>(time_, network_, host);
    life->teller = std::make_unique<TableTeller>(
        life->timers, [follower = &life->follower](std::string_view) {
          return *follower ? (*follower)->TellOthers() : FreshTable{};
        });
    life->follower = std::make_unique<TableFollower>(
        TableFollower::Parts{.timers = life->timers,
                             .store = life->source,
                             .random = random_,
                             .listener = life->heard},
        OptionsOf(host));
    life->follower->Mirror().OnChange(
        [teller = life->teller.get()] { teller->OnChange("t"); });
    Life& started = *life;
    hosts_[static_cast<std::size_t>(host)] = std::move(life);
    started.follower->Start();
  }

 private:
  struct Life {
    Life(VirtualTime& time, ModelNetwork& network, int host)
        : timers(time, host), source(network, host) {}

    HostTimers timers;
    HostSource source;
    HeardRows heard;
    std::unique_ptr<TableFollower> follower;
    std::unique_ptr<TableTeller> teller;
    std::optional<MonotonicTime> silent_since;
  };

  // As medlar-node has it, see programs/node/peer_group.cc.
  static constexpr Duration kUnheardLimit = milliseconds(2600);

  [[nodiscard]] const Life* At(int host) const {
    return hosts_[static_cast<std::size_t>(host)].get();
  }

  TableFollower::Options OptionsOf(int host) {
    return {
        .table = "t",
        .pace = PaceOf(hosts_.size()),
        .ask_peer =
            [this, host](const PeerQuestion& question, RowsCallback callback) {
              Ask(host, SomeOther(host), question, std::move(callback));
            },
        .ask_reader =
            [this, host](const PeerQuestion& question, RowsCallback callback) {
              return AskReader(host, question, std::move(callback));
            }};
  }

  int SomeOther(int host) {
    const auto others = static_cast<std::uint64_t>(Size() - 1);
    const int other = static_cast<int>(random_.NextBelow(others));
    return other >= host ? other + 1 : other;
  }

  /// A host is heard until it has been paused, or dead, for the limit.
  bool IsHeard(int host) {
    if (!IsAlive(host)) {
      return false;
    }
    Life& life = *hosts_[static_cast<std::size_t>(host)];
    if (!time_.IsPaused(host)) {
      life.silent_since.reset();
      return true;
    }
    if (!life.silent_since) {
      life.silent_since = time_.Now();
    }
    return time_.Now() - *life.silent_since < kUnheardLimit;
  }

  bool AskReader(int host,
                 const PeerQuestion& question,
                 RowsCallback callback) {
    std::vector<ReaderCandidate> live;
    for (int other = 0; other < Size(); ++other) {
      if (other == host || IsHeard(other)) {
        live.push_back({.host = HostName("h" + std::to_string(other)),
                        .address = std::to_string(other),
                        .link_mbps = 100});
      }
    }
    if (live.size() <= kHostsThatReadThemselves) {
      return false;
    }
    const int reader = std::stoi(ChooseReader(question.table, live)->address);
    if (reader == host) {
      return false;
    }
    Ask(host, reader, question, std::move(callback));
    return true;
  }

  void Ask(int from,
           int to,
           const PeerQuestion& question,
           RowsCallback callback) {
    network_.AskHost(
        from, to, question,
        [this, to](const PeerQuestion& asked, RowsCallback answer) {
          if (IsAlive(to)) {
            At(to)->teller->Ask(asked, std::move(answer));
          }
        },
        std::move(callback));
  }

  VirtualTime& time_;
  ModelNetwork& network_;
  fakes::SeededRandom random_;
  std::vector<std::unique_ptr<Life>> hosts_;
};

}  // namespace medlarcroft::rows

#endif  // MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_WORLD_H_
