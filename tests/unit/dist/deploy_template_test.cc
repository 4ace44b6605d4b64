#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <sstream>
#include <string>

#include "adapters/process/node_settings.h"
#include "adapters/process/settings_document.h"

namespace medlarcroft::adapters {
namespace {

// The platform substitutes the placeholders of the template. With any
// well-formed values the result must be valid settings.
TEST(DeployTemplateTest, RendersToValidSettings) {
  std::ifstream file(std::string(MEDLARCROFT_SOURCE_DIR) +
                     "/deploy/node.yaml.in");
  std::stringstream text;
  text << file.rdbuf();
  std::string settings = text.str();
  const std::vector<std::pair<std::string, std::string>> values = {
      {R"(\{\{[#/](zones|heartbeat|bounds\.quota_window|limits\.max_fds)\}\})",
       ""},
      {R"(\{\{@\}\})", "zone-a"},
      {R"(\{\{\.\}\})", "region-a"},
      {R"(\{\{(listen\.\w+|platform\.address)\|json\}\})", "\"127.0.0.1:80\""},
      {R"(\{\{bounds\.(budget_window|quota_window|grace|ttl_max|stable_window|drain)\|json\}\})",
       "\"5s\""},
      {R"(\{\{heartbeat\|json\}\})", "\"2s\""},
      {R"(\{\{\w+\|json\}\})", "\"name\""},
      {R"(\{\{ip\}\})", "127.0.0.1"},
      {R"(\{\{port_range\.0\}\})", "7540"},
      {R"(\{\{limits\.memory_mb\}\})", "260"},
      {R"(\{\{limits\.max_fds\}\})", "4100"},
      {R"(\{\{limits\.link_mbps\}\})", "10.5"},
      {R"(\{\{bounds\.(budget_ratio|quota_overage|max_shift)\}\})", "0.2"},
      {R"(\{\{bounds\.\w+\}\})", "5"}};
  for (const auto& [placeholder, value] : values) {
    settings = std::regex_replace(settings, std::regex(placeholder), value);
  }
  ASSERT_EQ(settings.find("{{"), std::string::npos) << settings;

  const auto parsed = ParseSettings(NodeSchema(), settings, "node.yaml");

  ASSERT_TRUE(IsOk(parsed)) << FormatSettingsError(ErrorOf(parsed).front());
  EXPECT_EQ(ValueOf(parsed).memory_mb, 260U);
  EXPECT_EQ(ValueOf(parsed).max_descriptors, 4100U);
  EXPECT_EQ(ValueOf(parsed).link_mbps, 10.5);
  EXPECT_EQ(ValueOf(parsed).bounds.stop_limit, std::chrono::seconds(5));
  EXPECT_EQ(ValueOf(parsed).bounds.in_touch_after, std::chrono::seconds(5));
  EXPECT_EQ(ValueOf(parsed).bounds.target_left_within, std::chrono::seconds(5));
  EXPECT_EQ(ValueOf(parsed).bounds.target_heartbeat, std::chrono::seconds(2));
  EXPECT_EQ(ValueOf(parsed).bounds.quota_window, std::chrono::seconds(5));
  EXPECT_EQ(ValueOf(parsed).bounds.quota_overage, 0.2);
  ASSERT_EQ(ValueOf(parsed).domains.size(), 1U);
  EXPECT_EQ(ValueOf(parsed).domains[0].region, "region-a");
}

}  // namespace
}  // namespace medlarcroft::adapters
