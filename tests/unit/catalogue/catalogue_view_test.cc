#include "medlarcroft/catalogue/catalogue_view.h"

#include <gtest/gtest.h>

namespace medlarcroft::catalogue {
namespace {

Entry MakeEntry(const char* name, EntryBody body) {
  return {.name = EntryName(name),
          .owner = OwnerName("owner"),
          .version = 1,
          .revision = 1,
          .body = std::move(body)};
}

TEST(CatalogueView, IndexesStayValidAfterMove) {
  std::map<EntryName, Entry> entries;
  entries.emplace(
      EntryName("s"),
      MakeEntry("s", ServiceEntry{.service = ServiceName("lookup-desk")}));
  entries.emplace(
      EntryName("d"),
      MakeEntry("d", DrainEntry{.subject = DrainSubject::kHost, .name = "h1"}));

  CatalogueView view(7, std::move(entries));
  const CatalogueView moved = std::move(view);

  ASSERT_NE(moved.FindService(ServiceName("lookup-desk")), nullptr);
  EXPECT_EQ(moved.FindService(ServiceName("none")), nullptr);
  EXPECT_TRUE(moved.IsDrained(DrainSubject::kHost, "h1"));
  EXPECT_FALSE(moved.IsDrained(DrainSubject::kTarget, "h1"));
}

}  // namespace
}  // namespace medlarcroft::catalogue
