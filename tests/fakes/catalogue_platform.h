#ifndef MEDLARCROFT_TESTS_FAKES_CATALOGUE_PLATFORM_H_
#define MEDLARCROFT_TESTS_FAKES_CATALOGUE_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "fakes/fake_object_store.h"
#include "fakes/fake_table_store.h"
#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/catalogue/catalogue_store.h"

namespace medlarcroft::fakes {

/// @brief An in-memory platform on which hosts' catalogue stores can be
/// created.
struct CataloguePlatform {
  FakeTableStore table;
  FakeObjectStore objects;
  ManualClock clock;
  SeededRandom random{20261202};
  std::function<void()> on_sleep;  ///< Called once, at the next back-off.

  catalogue::CatalogueStore MakeStore(
      catalogue::CatalogueStore::Options options = {}) {
    return {options,
            {.table = table,
             .objects = objects,
             .clock = clock,
             .random = random,
             .sleep = [this](Duration duration) { Sleep(duration); }}};
  }

 private:
  void Sleep(Duration duration) {
    clock.Advance(duration);
    if (const auto hook = std::exchange(on_sleep, nullptr)) {
      hook();
    }
  }
};

inline catalogue::EntryBody DomainBody(const std::string& name,
                                       std::uint32_t seats = 2) {
  return catalogue::FailureDomainEntry{
      .failure_domain = FailureDomainName(name),
      .region = RegionName("region"),
      .seats = seats};
}

/// @brief A change of the failure domain `name` by its owner.
inline catalogue::ChangeRequest DomainChange(const std::string& change_id,
                                             const std::string& name,
                                             std::uint64_t expected_version,
                                             std::uint32_t seats = 2) {
  return {.change_id = change_id,
          .owner = OwnerName("ops"),
          .entry = EntryName(name),
          .body = DomainBody(name, seats),
          .expected_version = expected_version};
}

inline catalogue::ChangeRequest Deletion(const std::string& change_id,
                                         const std::string& name,
                                         std::uint64_t expected_version) {
  return {.change_id = change_id,
          .owner = OwnerName("ops"),
          .entry = EntryName(name),
          .body = {},
          .expected_version = expected_version};
}

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_CATALOGUE_PLATFORM_H_
