#include "medlarcroft/catalogue/catalogue_view.h"

#include <utility>

namespace medlarcroft::catalogue {

namespace {

template <typename Map>
typename Map::mapped_type FindOrNull(const Map& map,
                                     const typename Map::key_type& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : found->second;
}

template <typename Map>
std::vector<typename Map::mapped_type> ValuesOf(const Map& map) {
  std::vector<typename Map::mapped_type> values;
  values.reserve(map.size());
  for (const auto& [key, value] : map) {
    values.push_back(value);
  }
  return values;
}

}  // namespace

CatalogueView::CatalogueView(std::uint64_t revision,
                             std::map<EntryName, Entry> entries)
    : revision_(revision), entries_(std::move(entries)) {
  for (const auto& [name, entry] : entries_) {
    if (const auto* service = std::get_if<ServiceEntry>(&entry.body)) {
      services_[service->service] = service;
    } else if (const auto* domain =
                   std::get_if<FailureDomainEntry>(&entry.body)) {
      failure_domains_[domain->failure_domain] = domain;
    } else if (const auto* link = std::get_if<LinkEntry>(&entry.body)) {
      links_[{link->from, link->to}] = link;
    } else if (const auto* drain = std::get_if<DrainEntry>(&entry.body)) {
      drains_[{drain->subject, drain->name}] = drain;
    }
  }
}

const Entry* CatalogueView::Find(const EntryName& name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

const ServiceEntry* CatalogueView::FindService(
    const ServiceName& service) const {
  return FindOrNull(services_, service);
}

const FailureDomainEntry* CatalogueView::FindFailureDomain(
    const FailureDomainName& name) const {
  return FindOrNull(failure_domains_, name);
}

const LinkEntry* CatalogueView::FindLink(const FailureDomainName& from,
                                         const FailureDomainName& to) const {
  return FindOrNull(links_, {from, to});
}

bool CatalogueView::IsDrained(DrainSubject subject,
                              const std::string& name) const {
  return drains_.contains({subject, name});
}

std::vector<const ServiceEntry*> CatalogueView::Services() const {
  return ValuesOf(services_);
}

std::vector<const FailureDomainEntry*> CatalogueView::FailureDomains() const {
  return ValuesOf(failure_domains_);
}

std::vector<const LinkEntry*> CatalogueView::Links() const {
  return ValuesOf(links_);
}

}  // namespace medlarcroft::catalogue
