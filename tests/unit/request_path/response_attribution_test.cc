#include "medlarcroft/request_path/response_attribution.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace medlarcroft::request_path {
namespace {

struct Event {
  enum Kind { kSend, kResponse, kFailure };
  Kind kind = kSend;
  std::string id;  ///< Of the request, or that the response names.
  bool is_own = true;
};

Event Send(const std::string& id) {
  return {.kind = Event::kSend, .id = id};
}
Event Own(const std::string& id) {
  return {.kind = Event::kResponse, .id = id};
}
Event OwnFailure(const std::string& id) {
  return {.kind = Event::kFailure, .id = id};
}
Event NotOwn(const std::string& id) {
  return {.kind = Event::kFailure, .id = id, .is_own = false};
}

struct AttributionCase {
  std::string name;
  std::vector<Event> events;
  bool is_reusable;
  bool may_carry_first_again;
};

class ResponseAttributionTable
    : public testing::TestWithParam<AttributionCase> {};

// Guards against a response that counts as the one to a request which it does
// not answer.
TEST_P(ResponseAttributionTable, OnlyProvedResponsesBelongToTheRequest) {
  ResponseAttribution connection;
  std::string waiting;
  for (const Event& event : GetParam().events) {
    if (event.kind == Event::kSend) {
      waiting = event.id;
      connection.OnSent(waiting);
      continue;
    }
    const ResponseName name = event.id.empty()      ? ResponseName::kUnnamed
                              : event.id == waiting ? ResponseName::kOwn
                                                    : ResponseName::kOther;
    EXPECT_EQ(connection.OnResponse(name, event.kind == Event::kFailure),
              event.is_own);
  }
  EXPECT_EQ(connection.IsReusable(), GetParam().is_reusable);
  EXPECT_EQ(connection.MayCarry(GetParam().events.front().id),
            GetParam().may_carry_first_again);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ResponseAttributionTable,
    testing::Values(
        AttributionCase{"Named", {Send("a"), Own("a")}, true, true},
        AttributionCase{"NamedFailure",
                        {Send("a"), OwnFailure("a"), Send("b"), Own("b")},
                        true,
                        false},
        AttributionCase{"UnnamedIsTheFirst",
                        {Send("a"), OwnFailure("")},
                        false,
                        false},
        AttributionCase{"UnnamedAfterAnother",
                        {Send("a"), Own("a"), Send("b"), NotOwn("")},
                        false,
                        false},
        AttributionCase{"UnnamedAfterOneToAnother",
                        {Send("a"), NotOwn("x"), NotOwn("")},
                        false,
                        false},
        AttributionCase{
            "CopyThenTheRightOne",
            {Send("a"), OwnFailure("a"), Send("b"), NotOwn("a"), Own("b")},
            false,
            false},
        AttributionCase{"UnnamedThenTheRightOne",
                        {Send("a"), Own("a"), Send("b"), NotOwn(""), Own("b")},
                        false,
                        false}),
    [](const auto& tested) { return tested.param.name; });

// Guards against memory that grows with the refusals on a connection.
TEST(ResponseAttributionTest, AConnectionWithManyFailuresEnds) {
  ResponseAttribution connection;
  int carried = 0;
  while (connection.IsReusable()) {
    const std::string id = std::to_string(++carried);
    ASSERT_TRUE(connection.MayCarry(id));
    connection.OnSent(id);
    ASSERT_TRUE(connection.OnResponse(ResponseName::kOwn, true));
    ASSERT_LT(carried, 100);
  }
  EXPECT_GT(carried, 10);
}

}  // namespace
}  // namespace medlarcroft::request_path
