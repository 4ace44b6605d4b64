#include "medlarcroft/routing/route_table.h"

#include <gtest/gtest.h>

#include <map>

namespace medlarcroft::routing {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  return {.name = std::move(name),
          .host = std::move(host),
          .path_prefix = std::move(prefix),
          .weighted_services = {{.service = ServiceName("desk")}}};
}

RoutingConfiguration MakeConfiguration(std::uint64_t version) {
  return {.version = version,
          .routes = {MakeRoute("root", "menus.example", "/"),
                     MakeRoute("short", "menus.example", "/a/"),
                     MakeRoute("long", "menus.example", "/a/b/"),
                     MakeRoute("other", "tees.example", "/a/")}};
}

struct MatchCase {
  std::string_view host;
  std::string_view target;
  std::string_view route;  ///< Empty: none.
};

class RouteMatchTable : public testing::TestWithParam<MatchCase> {};

TEST_P(RouteMatchTable, FindsTheLongestMatchingPrefixOfTheHost) {
  RouteTable table;
  ASSERT_TRUE(table.Apply(MakeConfiguration(1)));

  const auto route = table.Find(GetParam().host, GetParam().target);

  EXPECT_EQ(route ? route->name : "", GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RouteMatchTable,
    testing::Values(MatchCase{"menus.example", "/a/b/c", "long"},
                    MatchCase{"menus.example", "/a/b/", "long"},
                    MatchCase{"menus.example", "/a/b", "short"},
                    MatchCase{"menus.example", "/a", "root"},
                    MatchCase{"menus.example", "/a/x?q=/a/b/", "short"},
                    MatchCase{"Menus.Example:8080", "/a/b/c", "long"},
                    MatchCase{"tees.example", "/a/b/c", "other"},
                    MatchCase{"tees.example", "/", ""},
                    MatchCase{"unknown.example", "/a/", ""},
                    MatchCase{"", "/a/", ""}));

TEST(RouteTableTest, IgnoresAnOlderOrEqualVersion) {
  RouteTable table;
  ASSERT_TRUE(table.Apply(MakeConfiguration(7)));
  RoutingConfiguration older = MakeConfiguration(6);
  older.routes.clear();

  EXPECT_FALSE(table.Apply(older));
  older.version = 7;
  EXPECT_FALSE(table.Apply(older));

  EXPECT_EQ(table.Version(), 7U);
  EXPECT_NE(table.Find("menus.example", "/"), nullptr);
}

TEST(RouteTableTest, RouteInUseOutlivesItsVersion) {
  RouteTable table;
  ASSERT_TRUE(table.Apply(MakeConfiguration(1)));
  const auto route = table.Find("menus.example", "/a/b/");

  ASSERT_TRUE(table.Apply({.version = 2}));

  EXPECT_EQ(route->name, "long");
  EXPECT_EQ(table.Find("menus.example", "/a/b/"), nullptr);
}

TEST(RouteTableTest, EachServiceGetsItsShareInEverySequenceOfRequests) {
  Route route = MakeRoute("split", "menus.example", "/");
  route.weighted_services = {{.service = ServiceName("a"), .weight = 90},
                             {.service = ServiceName("b"), .weight = 10}};
  RouteTable table;
  std::map<ServiceName, int> counts;

  for (int i = 1; i <= 200; ++i) {
    ++counts[table.ChooseService(route)];
    EXPECT_NEAR(counts[ServiceName("b")], i * 0.1, 1.0);
  }
}

TEST(RouteTableTest, WeightsOfZeroDoNotDivideByZero) {
  Route route = MakeRoute("split", "menus.example", "/");
  route.weighted_services = {{.service = ServiceName("a"), .weight = 0},
                             {.service = ServiceName("b"), .weight = 0}};
  RouteTable table;

  EXPECT_FALSE(table.ChooseService(route).IsEmpty());
}

}  // namespace
}  // namespace medlarcroft::routing
