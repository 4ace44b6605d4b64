#ifndef MEDLARCROFT_CATALOGUE_CHANGE_ATTEMPTS_H_
#define MEDLARCROFT_CATALOGUE_CHANGE_ATTEMPTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "medlarcroft/catalogue/catalogue_reader.h"
#include "medlarcroft/catalogue/catalogue_rows.h"
#include "medlarcroft/catalogue/change_request.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::catalogue {

/// @brief Performs the attempts to commit one change and determines its result.
class ChangeAttempts {
 public:
  ChangeAttempts(const ChangeRequest& request,
                 ports::TableStore& table,
                 const ports::Clock& clock);

  /// @brief Makes one attempt. `state` is the catalogue at `head`.
  /// @return the result of the change, or nullopt if another attempt may
  /// succeed.
  std::optional<ChangeResult> MakeAttempt(const Head& head,
                                          const CatalogueState& state);

  /// @brief Checks that the platform's head is not older than the revision held
  /// by this host. An older head may come from a lagging replica, so the head
  /// may be read again.
  /// @return whether the head can be used.
  [[nodiscard]] bool CheckHeadRevision(const Head& head);

  /// @brief Records that the platform was unavailable in this attempt.
  void NotePlatformUnavailable() { was_platform_unavailable_ = true; }

  /// @return the result of the change when no attempts are left.
  [[nodiscard]] ChangeResult FinalFailure() const;

 private:
  /// Rows that the attempt read from the table.
  struct Rows {
    ports::Row entry;
    ports::Row change_id;
  };

  [[nodiscard]] std::optional<Rows> ReadRows();
  [[nodiscard]] std::optional<ChangeResult> ResolveFromChangeIdRow(
      const ports::Row& row) const;
  [[nodiscard]] std::optional<ChangeFailure> FindFault(
      const Rows& rows,
      const CatalogueState& state) const;
  [[nodiscard]] bool IsProvenNotCommitted(const Head& head, const Rows& rows);
  std::optional<ChangeResult> Commit(const Head& head, const Rows& rows);
  [[nodiscard]] ports::Transaction MakeTransaction(const Head& head,
                                                   const Rows& rows,
                                                   std::uint64_t version) const;
  [[nodiscard]] std::string MakeDocument(std::uint64_t revision,
                                         std::uint64_t version) const;

  const ChangeRequest& request_;
  ports::TableStore& table_;
  const ports::Clock& clock_;
  const std::string digest_;

  /// Head row version used by the latest commit whose response was lost.
  std::optional<std::uint64_t> unconfirmed_head_version_;
  bool was_platform_unavailable_ = false;
  std::optional<PlatformBehind> platform_behind_;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CHANGE_ATTEMPTS_H_
