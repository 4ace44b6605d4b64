#ifndef MEDLARCROFT_REPLICATION_TABLE_SERVER_H_
#define MEDLARCROFT_REPLICATION_TABLE_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/timers.h"
#include "medlarcroft/replication/follow_timing.h"
#include "medlarcroft/replication/row.h"
#include "medlarcroft/replication/table_mirror.h"

namespace medlarcroft::replication {

/// @brief One host's request to another for a table's rows.
struct RowsRequest {
  std::string table;
  std::uint64_t known_version = 0;
  /// How long the other host may wait for newer rows. Its answer is empty when
  /// it has none by then.
  Duration wait{0};
  /// How much later than `wait` the answer may arrive.
  Duration answer_margin = kPeerAnswerMargin;
};

/// @brief Answers other hosts' requests for a table's rows. Answers at once
/// when there are newer rows. Otherwise answers when some arrive, when the wait
/// is over, or when the store has not answered this host for so long that the
/// other hosts must know that the rows are outdated.
///
/// Some thirty hosts of a region wait for one reader. Without a refusal, all of
/// them would act on outdated rows while the reader is disconnected, and could
/// not detect it.
class TableServer {
 public:
  using FindTable = std::function<FreshTable(std::string_view table)>;

  TableServer(ports::Timers& timers, FindTable find_table)
      : timers_(timers), find_table_(std::move(find_table)) {}
  TableServer(const TableServer&) = delete;
  TableServer& operator=(const TableServer&) = delete;

  /// @param answer runs once, with the rows newer than the known ones, with
  /// none when nothing changed, or with `kRefused` when this host itself gets
  /// no answers from the store.
  void Ask(const RowsRequest& request, RowsCallback answer);

  /// @brief Answers the requests that wait for a table that has changed.
  void OnChange(std::string_view table);

 private:
  struct PendingRequest {
    std::string table;
    std::uint64_t known_version = 0;
    RowsCallback answer;
  };

  void AnswerPending(std::uint64_t number);
  void Answer(const PendingRequest& waiting);

  ports::Timers& timers_;
  FindTable find_table_;
  std::uint64_t last_request_id_ = 0;
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  /// Released with this object: a timer that fires later finds it gone.
  std::shared_ptr<TableServer*> alive_ = std::make_shared<TableServer*>(this);
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_TABLE_SERVER_H_
