#include "adapters/process/program_options.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <sstream>

#include "adapters/process/entryd_settings.h"
#include "adapters/process/node_settings.h"
#include "adapters/process/steerd_settings.h"
#include "adapters/process/version.h"

namespace medlarcroft::adapters {
namespace {

constexpr ProgramIdentity kIdentity{.name = "medlar-x", .summary = "a test"};

std::string ReadFile(const std::string& file) {
  std::ifstream input(std::string(MEDLARCROFT_SOURCE_DIR) + "/" + file);
  return {std::istreambuf_iterator<char>(input), {}};
}

std::string SamplePath(const std::string& file) {
  return std::string(MEDLARCROFT_SOURCE_DIR) + "/dist/samples/" + file;
}

struct CommandCase {
  std::string name;
  std::vector<std::string> arguments;
  int exit_status;
  std::string out;     ///< Expected part of the output.
  std::string errors;  ///< Expected part of the error output.
};

class CommandLineTest : public testing::TestWithParam<CommandCase> {};

TEST_P(CommandLineTest, PrintsOutputAndReturnsExitStatus) {
  const CommandCase& expected = GetParam();
  std::vector<const char*> arguments;
  for (const std::string& argument : expected.arguments) {
    arguments.push_back(argument.c_str());
  }
  std::ostringstream out;
  std::ostringstream errors;
  const auto result =
      StartProgram(kIdentity, SteerdSchema(), arguments, out, errors);

  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result), expected.exit_status) << errors.str();
  EXPECT_NE(out.str().find(expected.out), std::string::npos) << out.str();
  EXPECT_NE(errors.str().find(expected.errors), std::string::npos)
      << errors.str();
}

INSTANTIATE_TEST_SUITE_P(
    CommandLines,
    CommandLineTest,
    testing::Values(
        CommandCase{"Version", {"--version"}, 0, "medlar-x 0.", ""},
        CommandCase{"Help", {"--help"}, 0, "--check-settings", ""},
        CommandCase{"Reference", {"--settings-reference"}, 0, "| `host` |", ""},
        CommandCase{"NoArguments", {}, kExitBadUsage, "", "--settings FILE"},
        CommandCase{"UnknownOption", {"--bogus"}, kExitBadUsage, "", "bogus"},
        CommandCase{"PositionalArgument", {"stray"}, kExitBadUsage, "", ""},
        CommandCase{"UnreadableFile",
                    {"--settings", "/no/such", "--check-settings"},
                    kExitBadSettings,
                    "",
                    "unreadable"},
        CommandCase{
            "Check",
            {"--settings", SamplePath("steerd.yaml"), "--check-settings"},
            0,
            "settings are valid",
            ""},
        CommandCase{
            "Print",
            {"--settings", SamplePath("steerd.yaml"), "--print-settings"},
            0,
            "token: (secret)",
            ""}),
    [](const auto& info) { return info.param.name; });

TEST(ProgramOptionsTest, LoadsTheSampleSettings) {
  const std::string file = SamplePath("entryd.yaml");
  const std::vector<const char*> arguments{"--settings", file.c_str()};
  std::ostringstream out;
  std::ostringstream errors;
  const auto result =
      StartProgram(kIdentity, EntrydSchema(), arguments, out, errors);

  ASSERT_TRUE(IsOk(result)) << errors.str();
  EXPECT_EQ(ValueOf(result).settings_file, file);
  EXPECT_FALSE(ValueOf(result).settings.host.empty());
}

TEST(ProgramOptionsTest, VersionMatchesCMakeProject) {
  const std::string wanted = "VERSION " + std::string(kVersion) + " ";
  EXPECT_NE(ReadFile("CMakeLists.txt").find(wanted), std::string::npos);
}

/// @return the expected contents of the settings reference page.
std::string MakeSettingsPage() {
  const SteerdSettings steerd;
  const EntrydSettings entryd;
  const NodeSettings node;
  return "# Settings\n\n"
         "Generated from the schemas in `lib/libmedlarcroft/source/adapters/"
         "process/`.\nEach program prints its part with "
         "`--settings-reference`. "
         "After changing a\nschema, regenerate this page with "
         "`scripts/write-settings-page`.\n\n## medlar-steerd\n\n" +
         FormatReference(SteerdSchema().Fields(), &steerd) +
         "\n## medlar-entryd\n\n" +
         FormatReference(EntrydSchema().Fields(), &entryd) +
         "\n## medlar-node\n\n" + FormatReference(NodeSchema().Fields(), &node);
}

TEST(SettingsPageTest, MatchesTheSchemas) {
  const std::string page = MakeSettingsPage();
  const char* const file = std::getenv("MEDLARCROFT_WRITE_SETTINGS_PAGE");
  if (file != nullptr) {
    std::ofstream(file) << page;
  }
  EXPECT_EQ(ReadFile("docs/operations/settings.md"), page);
}

}  // namespace
}  // namespace medlarcroft::adapters
