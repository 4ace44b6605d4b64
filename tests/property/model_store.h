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
/// @brief A model of a store with history, and of a network that delays,
/// drops or refuses calls, in virtual time.

namespace medlarcroft::replication {

using fakes::VirtualTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief How calls between a host and the store behave.
enum class StoreAccess {
  kNormal,
  kRefused,
  kPartitioned,  ///< No message passes in either direction.
  /// Connections stay open and calls are accepted, but never answered; calls
  /// that the store held before are answered afterwards.
  kHung,
  kIsolated  ///< As `kPartitioned`, and from the other hosts too.
};

/// @brief The store's only table with its whole history, which a test can
/// compact. The value of each row is the version that wrote it, unless the
/// store is created with another one.
class ModelStore {
 public:
  explicit ModelStore(std::string value = "") : value_(std::move(value)) {}

  void Put(const std::string& key) { Change(key, false); }
  void Remove(const std::string& key) { Change(key, true); }
  void CompactHistory() { oldest_ = newest_; }

  [[nodiscard]] std::uint64_t Newest() const { return newest_; }
  [[nodiscard]] bool IsCompacted(std::uint64_t version) const {
    return version < oldest_;
  }

  /// @return the row's last change up to `version`; its version is 0 if there
  /// is none.
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
    const std::string value = value_.empty() ? std::to_string(newest_) : value_;
    history_[key].push_back({.key = key,
                             .value = is_removed ? "" : value,
                             .version = newest_,
                             .is_removed = is_removed});
  }

  const std::string value_;
  std::uint64_t newest_ = 0;
  std::uint64_t oldest_ = 0;
  std::map<std::string, std::vector<Row>> history_;
};

/// @brief Transmits calls between hosts and the store; delays or drops them.
class ModelNetwork {
 public:
  ModelNetwork(VirtualTime& time, ModelStore& store, std::uint64_t seed)
      : time_(time), store_(store), random_(seed) {}

  void SetAccess(int host, StoreAccess access) {
    access_by_host_[host] = access;
    AnswerHeldCalls();
  }
  [[nodiscard]] StoreAccess AccessOf(int host) const {
    const auto found = access_by_host_.find(host);
    return found == access_by_host_.end() ? StoreAccess::kNormal
                                          : found->second;
  }

  void List(int host, const std::string& first_key, RowsCallback callback) {
    const auto call = StartCall(host, kListTimeout, std::move(callback));
    Deliver(host, call, [this, host, first_key, call] {
      Answer(host, call, store_.List(first_key, kPageRows));
    });
  }

  void Follow(int host,
              std::uint64_t version,
              Duration wait,
              RowsCallback callback) {
    const auto call =
        StartCall(host, wait + kStoreAnswerMargin, std::move(callback));
    Deliver(host, call, [this, host, version, wait, call] {
      if (store_.IsCompacted(version)) {
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
      time_.At(VirtualTime::kNoHost, until, [this] { AnswerHeldCalls(); });
    });
  }

  /// @brief Delays the answers that cross the host's link.
  void SetLinkDelay(int host, Duration delay) { link_delays_[host] = delay; }
  /// @brief Sets how long a call between hosts waits for its connection.
  void SetConnectTime(std::function<Duration(int from, int to)> draw) {
    draw_connect_time_ = std::move(draw);
  }

  /// @brief Answers the calls held by the store that the commit satisfies.
  void OnCommit() { AnswerHeldCalls(); }

  /// @brief Sends a request from one host to another host's table server.
  void QueryPeer(
      int from,
      int to,
      const RowsRequest& question,
      const std::function<void(const RowsRequest&, RowsCallback)>& ask,
      RowsCallback callback) {
    const Duration connect_time = draw_connect_time_(from, to);
    const auto call =
        StartCall(from, connect_time + question.wait + question.answer_margin,
                  std::move(callback));
    if (AccessOf(from) == StoreAccess::kIsolated ||
        AccessOf(to) == StoreAccess::kIsolated) {
      return;
    }
    time_.At(to, time_.Now() + connect_time + kPeerLatency,
             [this, from, to, question, ask, call] {
               ask(question, [this, from, to,
                              call](const Result<RowBatch, RowFailure>& rows) {
                 time_.At(from,
                          time_.Now() + kPeerLatency + LinkDelay(to) +
                              LinkDelay(from),
                          [call, rows] { FinishCall(*call, rows); });
               });
             });
  }

 private:
  struct Call {
    RowsCallback callback;
    bool has_ended = false;  ///< From the point of view of the caller.
  };
  struct Held {
    int host = 0;
    std::uint64_t version = 0;
    MonotonicTime until{};
    std::shared_ptr<Call> call;
  };

  static constexpr Duration kListTimeout = milliseconds(1500);
  static constexpr Duration kPeerLatency = milliseconds(1);
  static constexpr std::size_t kPageRows = 5;
  // Two probes, one second apart, without a response; see
  // adapters/event/tcp_stream.
  static constexpr Duration kProbeTimeout = seconds(3);

  static void FinishCall(Call& call,
                         const Result<RowBatch, RowFailure>& result) {
    if (!call.has_ended) {
      call.has_ended = true;
      call.callback(result);
    }
  }

  std::shared_ptr<Call> StartCall(int host,
                                  Duration timeout,
                                  RowsCallback callback) {
    auto call = std::make_shared<Call>();
    call->callback = std::move(callback);
    time_.After(host, timeout,
                [call] { FinishCall(*call, RowFailure::kUnreachable); });
    return call;
  }

  void Deliver(int host,
               const std::shared_ptr<Call>& call,
               std::function<void()> serve) {
    Transmit(host, call, time_.Now() + kProbeTimeout,
             [this, host, call, serve = std::move(serve)] {
               if (AccessOf(host) == StoreAccess::kRefused) {
                 Answer(host, call, RowFailure::kRefused);
               } else if (AccessOf(host) != StoreAccess::kHung) {
                 serve();
               }
             });
  }

  /// Answers the held calls that have changes to report or whose wait has
  /// ended.
  void AnswerHeldCalls() {
    for (Held& held : std::exchange(held_, {})) {
      const bool is_due =
          store_.Newest() > held.version || time_.Now() >= held.until;
      if (is_due && AccessOf(held.host) != StoreAccess::kHung) {
        Answer(held.host, held.call, store_.ChangesAfter(held.version));
      } else {
        held_.push_back(std::move(held));
      }
    }
  }

  void Answer(int host,
              const std::shared_ptr<Call>& call,
              const Result<RowBatch, RowFailure>& result) {
    Result<RowBatch, RowFailure> response = result;
    if (IsOk(response)) {
      RowBatch batch = TakeValue(std::move(response));
      batch.store_time = time_.Now().time_since_epoch();
      response = std::move(batch);
    }
    Transmit(host, call, time_.Now() + kProbeTimeout,
             [this, host, call, response] {
               time_.At(host, time_.Now() + LinkDelay(host),
                        [call, response] { FinishCall(*call, response); });
             });
  }

  [[nodiscard]] bool IsPartitioned(int host) const {
    return AccessOf(host) == StoreAccess::kPartitioned ||
           AccessOf(host) == StoreAccess::kIsolated;
  }

  /// A message sent while the host is partitioned arrives afterwards, unless
  /// the keep-alive probes of its connection have failed by then.
  void Transmit(int host,
                const std::shared_ptr<Call>& call,
                MonotonicTime probe_deadline,
                std::function<void()> arrive) {
    time_.At(VirtualTime::kNoHost, time_.Now() + DrawLatency(),
             [this, host, call, probe_deadline, arrive = std::move(arrive)] {
               if (!IsPartitioned(host)) {
                 arrive();
               } else if (time_.Now() < probe_deadline) {
                 Transmit(host, call, probe_deadline, arrive);
               } else {
                 time_.At(host, time_.Now(), [call] {
                   FinishCall(*call, RowFailure::kUnreachable);
                 });
               }
             });
  }

  [[nodiscard]] Duration LinkDelay(int host) const {
    const auto found = link_delays_.find(host);
    return found == link_delays_.end() ? Duration(0) : found->second;
  }

  Duration DrawLatency() {
    return milliseconds(1) + FromSeconds(0.055 * random_.NextUnit());
  }

  VirtualTime& time_;
  ModelStore& store_;
  fakes::SeededRandom random_;
  std::map<int, StoreAccess> access_by_host_;
  std::vector<Held> held_;
  std::map<int, Duration> link_delays_;
  std::function<Duration(int, int)> draw_connect_time_ = [](int, int) {
    return Duration(0);
  };
};

/// @brief One host's row source, through the model network.
class HostRowSource final : public RowSource {
 public:
  HostRowSource(ModelNetwork& network, int host)
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
