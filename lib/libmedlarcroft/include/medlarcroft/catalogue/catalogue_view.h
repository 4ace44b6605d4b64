#ifndef MEDLARCROFT_CATALOGUE_CATALOGUE_VIEW_H_
#define MEDLARCROFT_CATALOGUE_CATALOGUE_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "medlarcroft/catalogue/entry.h"

namespace medlarcroft::catalogue {

/// @brief The catalogue at one revision. Immutable once shared, so readers need
/// no lock.
class CatalogueView {
 public:
  CatalogueView() = default;
  CatalogueView(std::uint64_t revision, std::map<EntryName, Entry> entries);

  [[nodiscard]] std::uint64_t Revision() const { return revision_; }
  [[nodiscard]] const std::map<EntryName, Entry>& Entries() const {
    return entries_;
  }

  /// @return the entry with that name, or nullptr.
  [[nodiscard]] const Entry* Find(const EntryName& name) const;
  /// @return the service's body, or nullptr.
  [[nodiscard]] const ServiceEntry* FindService(
      const ServiceName& service) const;
  /// @return the failure domain's body, or nullptr.
  [[nodiscard]] const FailureDomainEntry* FindFailureDomain(
      const FailureDomainName& name) const;
  /// @return the link in that direction, or nullptr. Without a link, no load
  /// may be shifted.
  [[nodiscard]] const LinkEntry* FindLink(const FailureDomainName& from,
                                          const FailureDomainName& to) const;
  /// @return whether a drain entry exists for that subject.
  [[nodiscard]] bool IsDrained(DrainSubject subject,
                               const std::string& name) const;

  [[nodiscard]] std::vector<const ServiceEntry*> Services() const;
  [[nodiscard]] std::vector<const FailureDomainEntry*> FailureDomains() const;
  [[nodiscard]] std::vector<const LinkEntry*> Links() const;

 private:
  std::uint64_t revision_ = 0;
  std::map<EntryName, Entry> entries_;
  // Point into `entries_`; moving a std::map does not invalidate pointers to
  // its elements.
  std::map<ServiceName, const ServiceEntry*> services_;
  std::map<FailureDomainName, const FailureDomainEntry*> failure_domains_;
  std::map<std::pair<FailureDomainName, FailureDomainName>, const LinkEntry*>
      links_;
  std::map<std::pair<DrainSubject, std::string>, const DrainEntry*> drains_;
};

using SharedCatalogueView = std::shared_ptr<const CatalogueView>;

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_CATALOGUE_VIEW_H_
