#ifndef MEDLARCROFT_REPLICATION_TABLE_SERVER_H_
#define MEDLARCROFT_REPLICATION_TABLE_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/timers.h"
#include "medlarcroft/replication/follow_timing.h"
#include "medlarcroft/replication/row.h"
#include "medlarcroft/replication/table_mirror.h"

namespace medlarcroft::replication {

/// @brief What one host asks another for.
struct RowsRequest {
  std::string table;
  std::uint64_t known_version = 0;
  /// How long the other one may wait for newer rows. None come when it has
  /// nothing newer then.
  Duration wait{0};
  /// How much later than that its answer may come.
  Duration answer_margin = kPeerAnswerMargin;
};

/// @brief Answers other hosts that ask for a table's rows: at once when there
/// are newer ones, and else when some come, when the time that they wait is
/// over, or when the store has been silent so long that they must hear so.
///
/// Load: some thirty hosts of a region wait on one. Harm prevented: all of them
/// act on old news while the one that reads for them is cut off, and does not
/// know it.
class TableServer {
 public:
  using FindTable = std::function<FreshTable(std::string_view table)>;

  TableServer(ports::Timers& timers, FindTable find_table)
      : timers_(timers), find_table_(std::move(find_table)) {}
  TableServer(const TableServer&) = delete;
  TableServer& operator=(const TableServer&) = delete;

  /// @param answer runs once: rows newer than those known, none when nothing
  /// came, or `kRefused` when this host does not hear from the store itself.
  void Ask(const RowsRequest& question, RowsCallback answer);

  /// @brief Answers those that wait for a table that has changed.
  void OnChange(std::string_view table);

 private:
  struct Waiting {
    std::string table;
    std::uint64_t known_version = 0;
    RowsCallback answer;
  };

  void Answer(const Waiting& waiting);

  ports::Timers& timers_;
  FindTable find_table_;
  std::uint64_t last_waiting_ = 0;
  std::map<std::uint64_t, Waiting> waiting_;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_TABLE_SERVER_H_
