#include "medlarcroft/decision/fair_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace medlarcroft::decision {
namespace {

std::vector<catalogue::BrandShare> Brands() {
  return {{.brand = BrandName("a"), .weight = 1.0},
          {.brand = BrandName("b"), .weight = 3.0}};
}

std::vector<std::uint64_t> PopAll(FairQueue& queue) {
  std::vector<std::uint64_t> ids;
  while (const auto ticket = queue.Pop())
    ids.push_back(ticket->id);
  return ids;
}

// A request of a brand with little demand is served next although another brand
// queued a hundred requests before it: the order is by brand, not by arrival.
TEST(FairQueue, ServesNewlyActiveBrandBeforeBacklogOfAnother) {
  FairQueue queue(/*is_fair=*/true);
  queue.Configure(Brands());
  for (std::uint64_t id = 1; id <= 100; ++id)
    queue.Push(0, {.id = id});
  EXPECT_EQ(queue.Pop()->id, 1U);

  queue.Push(1, {.id = 500});

  EXPECT_EQ(queue.Pop()->id, 500U);
}

TEST(FairQueue, IdleBrandAccumulatesNoCredit) {
  FairQueue queue(/*is_fair=*/true);
  queue.Configure(Brands());
  for (std::uint64_t id = 1; id <= 10; ++id)
    queue.Push(0, {.id = id});
  for (int i = 0; i < 8; ++i)
    static_cast<void>(queue.Pop());

  for (std::uint64_t id = 101; id <= 108; ++id)
    queue.Push(1, {.id = id});

  const std::vector<std::uint64_t> order = PopAll(queue);
  EXPECT_LT(std::ranges::find(order, 10U) - order.begin(), 8);
}

TEST(FairQueue, BrandsOutsideTheCatalogueShareOneFlow) {
  FairQueue queue(/*is_fair=*/true);
  queue.Configure(Brands());

  EXPECT_EQ(queue.FlowOf(BrandName("x")), queue.FlowOf(BrandName("y")));
  EXPECT_NE(queue.FlowOf(BrandName("x")), queue.FlowOf(BrandName("a")));
}

TEST(FairQueue, ShareCountsOnlyBrandsWithWork) {
  FairQueue queue(/*is_fair=*/true);
  queue.Configure(Brands());
  EXPECT_DOUBLE_EQ(queue.ShareOf(0), 1.0);

  queue.Push(1, {.id = 1});

  EXPECT_DOUBLE_EQ(queue.ShareOf(0), 0.25);
}

TEST(FairQueue, ConfigureKeepsWaitingRequests) {
  FairQueue queue(/*is_fair=*/true);
  queue.Configure(Brands());
  queue.Push(0, {.id = 1});
  queue.Push(1, {.id = 2});

  queue.Configure(std::vector<catalogue::BrandShare>{
      {.brand = BrandName("b"), .weight = 1.0}});

  EXPECT_EQ(queue.Size(), 2U);
  EXPECT_EQ(queue.FlowSize(queue.FlowOf(BrandName("a"))), 1U);
  EXPECT_EQ(PopAll(queue).size(), 2U);
}

TEST(FairQueue, RemoveErasesOneRequest) {
  FairQueue queue(/*is_fair=*/true);
  queue.Push(0, {.id = 1});
  queue.Push(0, {.id = 2});

  queue.Remove(0, {.id = 1});
  queue.Remove(0, {.id = 7});

  EXPECT_EQ(PopAll(queue), std::vector<std::uint64_t>{2});
}

}  // namespace
}  // namespace medlarcroft::decision
