#ifndef MEDLARCROFT_TESTS_PROPERTY_MODEL_STORE_H_
#define MEDLARCROFT_TESTS_PROPERTY_MODEL_STORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/seeded_random.h"
#include "fakes/virtual_time.h"
#include "medlarcroft/replication/row_source.h"
#include "medlarcroft/replication/table_server.h"

/// @file
/// @brief A store with history, and a network on which calls are late, lost or
/// refused, in virtual time.

namespace medlarcroft::replication {

using fakes::VirtualTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief How the store treats a host.
enum class Treatment {
  kServed,
  kRefused,
  kSilent,  ///< Nothing gets through, either way.
  /// Connections stay up and calls are taken, but never answered; those held
  /// from before are answered afterwards.
  kHung
};

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

  void Treat(int host, Treatment treatment) {
    treatments_[host] = treatment;
    AnswerHeld();
  }
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
    const auto call =
        Begin(host, wait + kStoreAnswerMargin, std::move(callback));
    Deliver(host, call, [this, host, version, wait, call] {
      if (store_.IsForgotten(version)) {
        Answer(host, call, RowFailure::kHistoryUnavailable);
        return;
      }
      if (store_.Newest() > version) {
        Answer(host, call, store_.ChangesAfter(version));
        return;
      }
      const MonotonicTime until = time_.Now() + wait;
      held_.push_back(
          {.host = host, .version = version, .until = until, .call = call});
      time_.At(VirtualTime::kNoHost, until, [this] { AnswerHeld(); });
    });
  }

  /// @brief Answers the calls that the store holds.
  void OnCommit() { AnswerHeld(); }

  /// @brief Brings a question from one host to another one's teller.
  void AskHost(int from,
               int to,
               const RowsRequest& question,
               const std::function<void(const RowsRequest&, RowsCallback)>& ask,
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
    bool has_ended = false;  ///< For whoever called.
  };
  struct Held {
    int host = 0;
    std::uint64_t version = 0;
    MonotonicTime until{};
    std::shared_ptr<Call> call;
  };

  static constexpr Duration kListTimeout = milliseconds(1500);
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
            } else if (TreatmentOf(host) != Treatment::kHung) {
              serve();
            }
          });
  }

  /// Answers the calls that are held and have news, or were held long enough.
  void AnswerHeld() {
    for (Held& held : std::exchange(held_, {})) {
      const bool is_due =
          store_.Newest() > held.version || time_.Now() >= held.until;
      if (is_due && TreatmentOf(held.host) != Treatment::kHung) {
        Answer(held.host, held.call, store_.ChangesAfter(held.version));
      } else {
        held_.push_back(std::move(held));
      }
    }
  }

  void Answer(int host,
              const std::shared_ptr<Call>& call,
              const Result<RowBatch, RowFailure>& result) {
    Result<RowBatch, RowFailure> told = result;
    if (IsOk(told)) {
      RowBatch batch = TakeValue(std::move(told));
      batch.store_time = time_.Now().time_since_epoch();
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
    time_.At(VirtualTime::kNoHost, time_.Now() + OneWay(),
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

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_TESTS_PROPERTY_MODEL_STORE_H_
