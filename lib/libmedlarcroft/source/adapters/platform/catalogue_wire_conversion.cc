#include "adapters/platform/catalogue_wire_conversion.h"

#include <cstdint>
#include <utility>

#include "medlarcroft/catalogue/entry_codec.h"

namespace medlarcroft::adapters {

namespace {

wire::CatalogueChange ToWire(const catalogue::Change& change) {
  wire::CatalogueChange out;
  out.revision = static_cast<std::int64_t>(change.revision);
  out.entry_name = change.entry.Value();
  out.entry_json = change.document;
  out.change_id = change.change_id;
  return out;
}

}  // namespace

wire::CatalogueDelta ToWire(const catalogue::Delta& delta) {
  wire::CatalogueDelta out;
  out.from_revision = static_cast<std::int64_t>(delta.from_revision);
  out.to_revision = static_cast<std::int64_t>(delta.to_revision);
  out.is_snapshot = delta.is_snapshot;
  out.changes.reserve(delta.changes.size());
  for (const catalogue::Change& change : delta.changes) {
    out.changes.push_back(ToWire(change));
  }
  return out;
}

std::optional<catalogue::Delta> FromWire(const wire::CatalogueDelta& delta) {
  if (delta.from_revision < 0 || delta.to_revision < 0) {
    return std::nullopt;
  }
  catalogue::Delta out{
      .from_revision = static_cast<std::uint64_t>(delta.from_revision),
      .to_revision = static_cast<std::uint64_t>(delta.to_revision),
      .is_snapshot = delta.is_snapshot};

  for (const wire::CatalogueChange& change : delta.changes) {
    if (change.revision < 0 || !catalogue::IsEntryName(change.entry_name)) {
      return std::nullopt;
    }
    out.changes.push_back(
        {.revision = static_cast<std::uint64_t>(change.revision),
         .entry = EntryName(change.entry_name),
         .document = change.entry_json,
         .change_id = change.change_id});
  }
  return out;
}

}  // namespace medlarcroft::adapters
