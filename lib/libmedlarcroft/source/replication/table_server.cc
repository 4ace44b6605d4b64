#include "medlarcroft/replication/table_server.h"

#include <algorithm>
#include <vector>

namespace medlarcroft::replication {

namespace {

constexpr Duration kLongestWait = std::chrono::seconds(5);
// Hosts that start together ask their reader before it has read anything.
constexpr Duration kLongestStart = std::chrono::milliseconds(500);

}  // namespace

void TableServer::Ask(const RowsRequest& question, RowsCallback answer) {
  const FreshTable table = find_table_(question.table);
  const bool has_news = table.mirror != nullptr &&
                        table.mirror->Version() > question.known_version;
  const Duration longest = table.is_loading
                               ? kLongestStart
                               : std::min(kLongestWait, table.fresh_for);
  const Duration wait = std::min(question.wait, longest);
  Waiting asked{.table = question.table,
                .known_version = question.known_version,
                .answer = std::move(answer)};
  if (has_news || wait <= Duration(0)) {
    Answer(asked);
    return;
  }
  const std::uint64_t number = ++last_waiting_;
  waiting_.emplace(number, std::move(asked));
  timers_.RunAfter(wait, [this, number] {
    const auto node = waiting_.extract(number);
    if (!node.empty()) {
      Answer(node.mapped());
    }
  });
}

void TableServer::OnChange(std::string_view table) {
  std::vector<std::uint64_t> due;
  for (const auto& [number, waiting] : waiting_) {
    if (waiting.table == table) {
      due.push_back(number);
    }
  }
  for (const std::uint64_t number : due) {
    const auto node = waiting_.extract(number);
    if (!node.empty()) {
      Answer(node.mapped());
    }
  }
}

void TableServer::Answer(const Waiting& waiting) {
  const TableMirror* const mirror = find_table_(waiting.table).mirror;
  if (mirror == nullptr) {
    waiting.answer(RowFailure::kRefused);
    return;
  }
  waiting.answer(mirror->Since(waiting.known_version));
}

}  // namespace medlarcroft::replication
