#ifndef MEDLARCROFT_TESTS_FAKES_FAKE_STORE_SERVER_H_
#define MEDLARCROFT_TESTS_FAKES_FAKE_STORE_SERVER_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "adapters/event/http_listener.h"
#include "platform/json_reader.h"
#include "platform/platform_handlers.h"

namespace medlarcroft::fakes {

/// @brief An HTTP server with the platform's store, of one table, on a test's
/// event loop: rows, conditions and the feed as the platform documents them,
/// with faults that a test can set.
class FakeStoreServer final : public adapters::HttpRequestHandler {
 public:
  explicit FakeStoreServer(adapters::EventLoop& loop) : loop_(loop) {
    Listen("127.0.0.1:0");
    address_ = "127.0.0.1:" + std::to_string(listener_->Port());
  }

  [[nodiscard]] const std::string& Address() const { return address_; }

  /// Closes all connections and resets new ones.
  void Stop() { listener_.reset(); }
  void Resume() { Listen(address_); }

  void Put(const std::string& key, const std::string& value) {
    ++version;
    rows_[key] = {value, version};
    removed_.erase(key);
    AnswerWaitingFeeds();
  }
  void Remove(const std::string& key) {
    ++version;
    rows_.erase(key);
    removed_[key] = version;
    AnswerWaitingFeeds();
  }
  [[nodiscard]] bool Contains(const std::string& key) const {
    return rows_.contains(key);
  }
  /// Discards the history up to now: feeds that start before it get status 410.
  void Compact() { oldest_ = version + 1; }

  // Faults:
  std::optional<int> forced_status;    ///< Status of every response.
  bool is_unresponsive = false;        ///< Calls get no response.
  bool drops_write_responses = false;  ///< Writes succeed without a response.
  /// Delay before a call is processed; a caller that has stopped waiting gets
  /// no response.
  Duration processing_delay{0};
  /// Delay before a write takes effect; it gets no response.
  Duration write_delay{0};
  std::uint64_t reported_version_lag = 0;  ///< Lists report an older version.
  std::size_t rows_per_page = 500;

  std::uint64_t version = 0;
  std::map<std::string, int> calls;

  void OnRequest(
      adapters::HttpRequest request,
      const std::shared_ptr<adapters::HttpExchange>& exchange) override {
    const std::string path =
        request.raw_target.substr(0, request.raw_target.find('?'));
    ++calls[path];
    if (is_unresponsive) {
      unanswered_.push_back(exchange);
      return;
    }
    if (forced_status) {
      exchange->Respond({.status = *forced_status});
      return;
    }
    if (processing_delay > Duration(0)) {
      loop_.After(processing_delay, [this, path, request, exchange] {
        Process(path, request, exchange);
      });
      return;
    }
    Process(path, request, exchange);
  }

 private:
  struct Waiting {
    std::shared_ptr<adapters::HttpExchange> exchange;
    std::uint64_t after = 0;
  };

  void Listen(const std::string& address) {
    listener_ = TakeValue(adapters::HttpListener::Open(loop_, address, *this));
  }

  void Process(const std::string& path,
               const adapters::HttpRequest& request,
               const std::shared_ptr<adapters::HttpExchange>& exchange) {
    if (path.ends_with("rows-get")) {
      List(request.raw_target, *exchange);
    } else if (path.ends_with("rows-feed")) {
      Feed(request.raw_target, exchange);
    } else if (write_delay > Duration(0)) {
      unanswered_.push_back(exchange);
      loop_.After(write_delay,
                  [this, request, exchange] { Write(request.body, exchange); });
    } else {
      Write(request.body, exchange);
    }
  }

  static std::uint64_t NumberOf(const std::string& target,
                                std::string_view name) {
    return std::stoull("0" +
                       std::string(platform::FindParameter(target, name)));
  }

  void Respond(adapters::HttpExchange& exchange, nlohmann::json body) {
    const auto now = ToMilliseconds(loop_.Now().time_since_epoch());
    body["now"] = std::to_string(now) + "ms";
    exchange.Respond({.status = 200, .body = body.dump()});
  }

  static nlohmann::json RowOf(
      const std::string& key,
      const std::pair<std::string, std::uint64_t>& row) {
    return {{"key", key},
            {"value", platform::EncodeBase64(row.first)},
            {"schema_version", row.second}};
  }

  void List(const std::string& target, adapters::HttpExchange& exchange) {
    // Keys in these tests need no escaping except the last character, which
    // stands for "after this key".
    std::string from(platform::FindParameter(target, "from"));
    const bool is_after = from.ends_with("%00");
    if (is_after) {
      from.resize(from.size() - 3);
    }
    nlohmann::json rows = nlohmann::json::array();
    bool has_more = false;
    for (const auto& [key, row] : rows_) {
      if (key < from || (is_after && key == from)) {
        continue;
      }
      if (rows.size() == rows_per_page) {
        has_more = true;
        break;
      }
      rows.push_back(RowOf(key, row));
    }
    Respond(exchange, {{"rows", rows},
                       {"has_more", has_more},
                       {"schema_version", version - reported_version_lag}});
  }

  void Feed(const std::string& target,
            const std::shared_ptr<adapters::HttpExchange>& exchange) {
    const std::uint64_t after = NumberOf(target, "after");
    if (after + 1 < oldest_) {
      exchange->Respond({.status = 410});
      return;
    }
    if (after < version) {
      Respond(*exchange, ChangesAfter(after));
      return;
    }
    waiting_feeds_.push_back({exchange, after});
    const Duration wait =
        std::chrono::milliseconds(NumberOf(target, "wait_ms"));
    // Only the first response counts, in case a change came before.
    loop_.After(wait, [this, exchange, after] {
      if (after + 1 < oldest_) {
        exchange->Respond({.status = 410});
      } else {
        Respond(*exchange, ChangesAfter(after));
      }
    });
  }

  nlohmann::json ChangesAfter(std::uint64_t after) {
    std::map<std::uint64_t, nlohmann::json> ordered;
    for (const auto& [key, row] : rows_) {
      if (row.second > after) {
        ordered[row.second] = RowOf(key, row);
      }
    }
    for (const auto& [key, removed_at] : removed_) {
      if (removed_at > after) {
        ordered[removed_at] = {
            {"key", key}, {"removed", true}, {"schema_version", removed_at}};
      }
    }
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [at, row] : ordered) {
      rows.push_back(row);
    }
    return {{"rows", rows}, {"schema_version", version}};
  }

  void AnswerWaitingFeeds() {
    if (is_unresponsive) {
      return;
    }
    for (const Waiting& waiting : std::exchange(waiting_feeds_, {})) {
      Respond(*waiting.exchange, ChangesAfter(waiting.after));
    }
  }

  /// @return the response body with the current rows of the transaction's
  /// conditions.
  std::string ConditionRows(const nlohmann::json& transaction) {
    nlohmann::json rows = nlohmann::json::array();
    for (const nlohmann::json& condition : transaction.at("precondition")) {
      const auto found = rows_.find(condition.at("key").get<std::string>());
      if (found != rows_.end()) {
        rows.push_back(RowOf(found->first, found->second));
      }
    }
    return nlohmann::json{{"rows", rows}, {"schema_version", version}}.dump();
  }

  void Write(const std::string& body,
             const std::shared_ptr<adapters::HttpExchange>& exchange) {
    const nlohmann::json transaction = nlohmann::json::parse(body);
    for (const nlohmann::json& condition : transaction.at("precondition")) {
      const auto found = rows_.find(condition.at("key").get<std::string>());
      const std::uint64_t has = found == rows_.end() ? 0 : found->second.second;
      if (has != condition.at("schema_version").get<std::uint64_t>()) {
        exchange->Respond({.status = 412, .body = ConditionRows(transaction)});
        return;
      }
    }
    for (const nlohmann::json& row : transaction.at("writes")) {
      Put(row.at("key"),
          *platform::DecodeBase64(row.at("value").get<std::string>()));
    }
    for (const nlohmann::json& row : transaction.at("remove")) {
      Remove(row.at("key"));
    }
    if (drops_write_responses || write_delay > Duration(0)) {
      unanswered_.push_back(exchange);
      return;
    }
    Respond(*exchange, {{"schema_version", version}});
  }

  adapters::EventLoop& loop_;
  std::unique_ptr<adapters::HttpListener> listener_;
  std::string address_;
  std::map<std::string, std::pair<std::string, std::uint64_t>> rows_;
  std::map<std::string, std::uint64_t> removed_;
  std::uint64_t oldest_ = 0;
  std::vector<Waiting> waiting_feeds_;
  std::vector<std::shared_ptr<adapters::HttpExchange>> unanswered_;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_FAKE_STORE_SERVER_H_
