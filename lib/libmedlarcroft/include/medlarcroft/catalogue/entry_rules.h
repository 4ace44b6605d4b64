#ifndef MEDLARCROFT_CATALOGUE_ENTRY_RULES_H_
#define MEDLARCROFT_CATALOGUE_ENTRY_RULES_H_

#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/catalogue/field_fault.h"

namespace medlarcroft::catalogue {

/// @brief Validates `changed` against the other entries: its references
/// resolve, names used for lookup are unique, and the owner does not change. A
/// drain of an unknown target or failure domain is a fault, because a drain
/// with a misspelt name would have no effect and report no error. Host names
/// cannot be checked because hosts are not in the catalogue.
/// @return all faults; empty if the change may be accepted at `view`.
[[nodiscard]] FieldFaults CheckChange(const CatalogueView& view,
                                      const Entry& changed);

/// @brief Checks that `owner` owns the entry `name` and that no other entry
/// refers to it, so that it can be deleted.
/// @return all faults; empty if the entry may be deleted.
[[nodiscard]] FieldFaults CheckDeletion(const CatalogueView& view,
                                        const EntryName& name,
                                        const OwnerName& owner);

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_ENTRY_RULES_H_
