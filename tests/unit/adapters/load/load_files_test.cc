#include <gtest/gtest.h>

#include "adapters/load/deployment_file.h"
#include "adapters/load/load_plan_schema.h"
#include "adapters/load/target_probe.h"
#include "adapters/process/settings_document.h"

namespace medlarcroft::adapters {
namespace {

class LoadPlans : public testing::TestWithParam<std::string> {};

TEST_P(LoadPlans, InDistAreValid) {
  const std::string file = std::string(MEDLARCROFT_SOURCE_DIR) + "/dist/load/" +
                           GetParam() + ".yaml";
  const auto plan = LoadSettings(LoadPlanSchema(), file);
  ASSERT_TRUE(IsOk(plan)) << FormatSettingsError(ErrorOf(plan).front());
  EXPECT_EQ(ValueOf(plan).classes.size(), 3U);
  EXPECT_FALSE(ValueOf(plan).brands.empty());
  EXPECT_FALSE(ValueOf(plan).bursts.empty());
}

INSTANTIATE_TEST_SUITE_P(Dist,
                         LoadPlans,
                         testing::Values("uwimana", "campos"),
                         [](const auto& info) { return info.param; });

TEST(DeploymentFileTest, ReadsUrls) {
  const auto result = ParseDeployment(
      R"({"steerd":[{"host":"a","url":"http://127.0.0.1:1"}],
          "targets":[{"target":"t","url":"http://127.0.0.1:2"},{"x":1}]})");
  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).lookup_urls.size(), 1U);
  EXPECT_EQ(ValueOf(result).target_urls.front(), "http://127.0.0.1:2");
}

TEST(DeploymentFileTest, RejectsOtherFiles) {
  EXPECT_EQ(ErrorOf(ParseDeployment("x")), DeploymentFileError::kNotJson);
  EXPECT_EQ(ErrorOf(ParseDeployment("{}")), DeploymentFileError::kNoSteerd);
}

TEST(RunListTest, ReadsStandInTargetResponse) {
  const auto list = ParseRunList(
      R"({"target":"t1","dropped":0,"runs":[{"idempotency_key":"k",
          "path":"/p","count":2,"completed":1,"cancelled":1}]})");
  ASSERT_TRUE(list.has_value());
  EXPECT_TRUE(list->is_complete);
  EXPECT_EQ(list->runs.front().count, 2U);
  EXPECT_EQ(list->runs.front().target, "t1");
  EXPECT_FALSE(ParseRunList("{}").has_value());
  EXPECT_FALSE(ParseRunList("").has_value());
}

}  // namespace
}  // namespace medlarcroft::adapters
