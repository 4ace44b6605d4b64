#include "medlarcroft/replication/table_server.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace medlarcroft::replication {

namespace {

constexpr Duration kMaxWait = std::chrono::seconds(5);
// Hosts that start together call their reader before it has read anything.
constexpr Duration kMaxStartupWait = std::chrono::milliseconds(500);

}  // namespace

void TableServer::Ask(const RowsRequest& request, RowsCallback answer) {
  const FreshTable table = find_table_(request.table);
  const bool has_newer_rows = table.mirror != nullptr &&
                              table.mirror->Version() > request.known_version;
  const Duration max_wait =
      table.is_loading ? kMaxStartupWait : std::min(kMaxWait, table.fresh_for);
  const Duration wait = std::min(request.wait, max_wait);
  PendingRequest pending{.table = request.table,
                         .known_version = request.known_version,
                         .answer = std::move(answer)};
  if (has_newer_rows || wait <= Duration(0)) {
    Answer(pending);
    return;
  }
  const std::uint64_t number = ++last_request_id_;
  pending_requests_.emplace(number, std::move(pending));
  // Timers can't be cancelled, and one may fire after this object's end.
  timers_.RunAfter(wait, [alive = std::weak_ptr(alive_), number] {
    if (const auto server = alive.lock()) {
      (*server)->AnswerPending(number);
    }
  });
}

void TableServer::OnChange(std::string_view table) {
  std::vector<std::uint64_t> due;
  for (const auto& [number, waiting] : pending_requests_) {
    if (waiting.table == table) {
      due.push_back(number);
    }
  }
  for (const std::uint64_t number : due) {
    AnswerPending(number);
  }
}

void TableServer::AnswerPending(std::uint64_t number) {
  const auto node = pending_requests_.extract(number);
  if (!node.empty()) {
    Answer(node.mapped());
  }
}

void TableServer::Answer(const PendingRequest& waiting) {
  const FreshTable table = find_table_(waiting.table);
  if (table.mirror == nullptr) {
    waiting.answer(RowFailure::kRefused);
    return;
  }
  RowBatch rows = table.mirror->ChangesSince(waiting.known_version);
  rows.store_available = table.store_available;
  waiting.answer(std::move(rows));
}

}  // namespace medlarcroft::replication
