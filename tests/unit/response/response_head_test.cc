#include "medlarcroft/response/response_head.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace medlarcroft::response {
namespace {

struct StatusLineCase {
  std::string name;
  std::string line;
  std::optional<int> status;  ///< nullopt: no status line.
};

class StatusLineTable : public testing::TestWithParam<StatusLineCase> {};

// Guards against a status that one reader takes for another one.
TEST_P(StatusLineTable, HasAStatusOfThreeDigits) {
  const auto status = ReadStatusLine(GetParam().line);
  ASSERT_EQ(IsOk(status), GetParam().status.has_value());
  if (IsOk(status)) {
    EXPECT_EQ(ValueOf(status), *GetParam().status);
  } else {
    EXPECT_EQ(ErrorOf(status), HeadFault::kStatusLine);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    StatusLineTable,
    testing::Values(
        StatusLineCase{"usual", "HTTP/1.1 200 OK", 200},
        StatusLineCase{"version_1_0", "HTTP/1.0 404 Not", 404},
        StatusLineCase{"empty_reason", "HTTP/1.1 200 ", 200},
        StatusLineCase{"no_reason", "HTTP/1.1 200", 200},
        StatusLineCase{"zeros", "HTTP/1.1 000 OK", 0},
        StatusLineCase{"two_digits", "HTTP/1.1 20 OK", {}},
        StatusLineCase{"four_digits", "HTTP/1.1 2000 OK", {}},
        StatusLineCase{"sign", "HTTP/1.1 +20 OK", {}},
        StatusLineCase{"two_blanks", "HTTP/1.1  200 OK", {}},
        StatusLineCase{"letter", "HTTP/1.1 20x OK", {}},
        StatusLineCase{"control_in_reason", "HTTP/1.1 200 O\aK", {}},
        StatusLineCase{"version_2", "HTTP/2 200 OK", {}},
        StatusLineCase{"version_2_0", "HTTP/2.0 200 OK", {}},
        StatusLineCase{"no_version", "HTTP 200 OK", {}},
        StatusLineCase{"blank_first", " HTTP/1.1 200 OK", {}},
        StatusLineCase{"short", "HTTP/1.1 20", {}},
        StatusLineCase{"empty", "", {}}),
    [](const auto& tested) { return tested.param.name; });

struct HeadCase {
  std::string name;
  int status;
  std::vector<std::string> lines;
  std::optional<HeadFault> fault;
  BodyFraming framing = BodyFraming::kUntilClose;
};

class HeadTable : public testing::TestWithParam<HeadCase> {};

// Guards against heads that each reader understands in its own way.
TEST_P(HeadTable, IsJudgedByOneRule) {
  ResponseHead head(GetParam().status);
  std::optional<HeadFault> fault;
  for (const std::string& line : GetParam().lines) {
    const auto field = ReadFieldLine(line);
    if (!IsOk(field)) {
      fault = ErrorOf(field);
      break;
    }
    head.OnField(ValueOf(field));
  }
  EXPECT_EQ(fault ? fault : head.Fault(), GetParam().fault);
  if (!GetParam().fault) {
    EXPECT_EQ(head.Framing(), GetParam().framing);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    HeadTable,
    testing::Values(
        HeadCase{"no_fields", 200, {}, {}},
        HeadCase{"length",
                 200,
                 {"Content-Length: 5"},
                 {},
                 BodyFraming::kLength},
        HeadCase{"length_in_white_space",
                 200,
                 {"content-length: \t5 "},
                 {},
                 BodyFraming::kLength},
        HeadCase{"chunked",
                 200,
                 {"Transfer-Encoding: CHUNKED"},
                 {},
                 BodyFraming::kChunked},
        HeadCase{"odd_fields", 200, {"!#$%&'*+-.^_`|~9:", "A: \xe4\t;"}, {}},
        HeadCase{"first_status", 100, {}, {}},
        HeadCase{"last_status", 599, {}, {}},
        HeadCase{"below_the_first", 99, {}, HeadFault::kStatus},
        HeadCase{"zero", 0, {}, HeadFault::kStatus},
        HeadCase{"beyond_the_last", 600, {}, HeadFault::kStatus},
        HeadCase{"blank_in_name", 200, {"A b: c"}, HeadFault::kFieldName},
        HeadCase{"blank_before_colon", 200, {"A : c"}, HeadFault::kFieldName},
        HeadCase{"control_in_name", 200, {"A\ab: c"}, HeadFault::kFieldName},
        HeadCase{"high_byte_in_name", 200, {"A\xe4: c"}, HeadFault::kFieldName},
        HeadCase{"empty_name", 200, {": c"}, HeadFault::kFieldName},
        HeadCase{"no_colon", 200, {"A"}, HeadFault::kFieldLine},
        HeadCase{"empty_line", 200, {""}, HeadFault::kFieldLine},
        HeadCase{"fold", 200, {"A: b", " c: d"}, HeadFault::kFieldLine},
        HeadCase{"control_in_value", 200, {"A: \a"}, HeadFault::kFieldValue},
        HeadCase{"return_in_value", 200, {"A: b\rc"}, HeadFault::kFieldValue},
        HeadCase{"delete_in_value", 200, {"A: \x7f"}, HeadFault::kFieldValue},
        HeadCase{"two_lengths",
                 200,
                 {"Content-Length: 5", "Content-Length: 5"},
                 HeadFault::kContentLength},
        HeadCase{"list_of_lengths",
                 200,
                 {"Content-Length: 5, 5"},
                 HeadFault::kContentLength},
        HeadCase{"negative_length",
                 200,
                 {"Content-Length: -5"},
                 HeadFault::kContentLength},
        HeadCase{"empty_length",
                 200,
                 {"Content-Length:"},
                 HeadFault::kContentLength},
        HeadCase{"length_over_all_numbers",
                 200,
                 {"Content-Length: 18446744073709551616"},
                 HeadFault::kContentLength},
        HeadCase{"unknown_coding",
                 200,
                 {"Transfer-Encoding: gzip"},
                 HeadFault::kTransferCoding},
        HeadCase{"two_codings",
                 200,
                 {"Transfer-Encoding: gzip, chunked"},
                 HeadFault::kTransferCoding},
        HeadCase{"chunked_twice",
                 200,
                 {"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"},
                 HeadFault::kTransferCoding},
        HeadCase{"length_and_chunks",
                 200,
                 {"Content-Length: 5", "Transfer-Encoding: chunked"},
                 HeadFault::kTwoFramings},
        HeadCase{"chunks_and_length",
                 200,
                 {"Transfer-Encoding: chunked", "Content-Length: 5"},
                 HeadFault::kTwoFramings}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace medlarcroft::response
