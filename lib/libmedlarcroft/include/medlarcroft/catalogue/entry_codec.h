#ifndef MEDLARCROFT_CATALOGUE_ENTRY_CODEC_H_
#define MEDLARCROFT_CATALOGUE_ENTRY_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/catalogue/field_fault.h"
#include "medlarcroft/catalogue/json_schema.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::catalogue {

/// @brief Maximum size of an entry document, in bytes. A service with 5,000
/// targets takes about 0.7 MB, and each document is stored in one row of the
/// table service.
constexpr std::size_t kMaxEntryBytes = std::size_t{1024} * 1024;

/// @brief Parses an entry document: a JSON object with "kind" ("service",
/// "failure-domain", "link" or "drain") and the fields of that kind. The
/// document may also contain "entry" (its name), "owner", "version" and
/// "revision", so that a document that was read can be edited and sent back.
/// @return the entry, or all faults found.
[[nodiscard]] Result<Entry, FieldFaults> ParseEntry(std::string_view document,
                                                    UnknownFields policy);

/// @return the entry as a document that `ParseEntry` accepts.
[[nodiscard]] std::string FormatEntry(const Entry& entry);

/// @return the kind of the body as spelled in documents.
[[nodiscard]] std::string_view KindOf(const EntryBody& body);

/// @return the drain subject as spelled in documents.
[[nodiscard]] std::string_view NameOf(DrainSubject subject);

/// @return whether `name` is a valid entry name: 1 to 128 letters, digits, '.',
/// '_' and '-', starting with a letter or digit.
[[nodiscard]] bool IsEntryName(std::string_view name);

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_ENTRY_CODEC_H_
