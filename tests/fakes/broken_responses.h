#ifndef MEDLARCROFT_TESTS_FAKES_BROKEN_RESPONSES_H_
#define MEDLARCROFT_TESTS_FAKES_BROKEN_RESPONSES_H_

#include <sstream>
#include <string>
#include <vector>

namespace medlarcroft::fakes {

/// @brief What a server sends in place of a response, or a proper response.
struct SentResponse {
  std::string name;
  std::string bytes;
};

/// @param fields that each response has, each with its line end.
/// @param body as a proper response has it, without a line end.
/// @return bytes that are no response, whoever reads them.
inline std::vector<SentResponse> BrokenResponses(
    const std::string& fields = "",
    const std::string& body = "hello") {
  const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string with_body = length + "\r\n" + body;
  const std::string chunks = "\r\n1\r\nh\r\n0\r\n\r\n";
  const auto with_status = [&](const std::string& status) {
    return "HTTP/1.1 " + status + "\r\n" + fields + with_body;
  };
  const auto with_line = [&](const std::string& line) {
    return ok + line + "\r\n" + with_body;
  };
  return {
      {"status_000", with_status("000 OK")},
      {"status_001", with_status("001 OK")},
      {"status_099", with_status("099 OK")},
      {"status_600", with_status("600 OK")},
      {"status_999", with_status("999 OK")},
      {"status_of_two_digits", with_status("20 OK")},
      {"status_of_four_digits", with_status("2000 OK")},
      {"status_with_sign", with_status("+20 OK")},
      {"interim_status_000", "HTTP/1.1 000 Early\r\n\r\n" + ok + with_body},
      {"interim_with_blank_in_name",
       "HTTP/1.1 103 Early\r\nA b: c\r\n\r\n" + ok + with_body},
      {"no_version", "HTTP 200 OK\r\n" + fields + with_body},
      {"version_2", "HTTP/2 200 OK\r\n" + fields + with_body},
      {"blank_in_name", with_line("A b: c")},
      {"blank_before_colon", with_line("Ab : c")},
      {"tab_before_colon", with_line("Ab\t: c")},
      {"nul_in_name", with_line(std::string("A\0b: c", 6))},
      {"bell_in_name", with_line("A\ab: c")},
      {"delete_in_name", with_line("A\x7f"
                                   "b: c")},
      {"return_in_name", with_line("A\rb: c")},
      {"high_byte_in_name", with_line("A\xe4"
                                      "b: c")},
      {"brackets_in_name", with_line("A[b]: c")},
      {"empty_name", with_line(": c")},
      {"no_colon", with_line("Ab")},
      {"fold_first", "HTTP/1.1 200 OK\r\n folded: a\r\n" + fields + with_body},
      {"nul_in_value", with_line(std::string("Ab: c\0d", 7))},
      {"bell_in_value", with_line("Ab: c\ad")},
      {"delete_in_value", with_line("Ab: c\x7f")},
      {"return_in_value", with_line("Ab: c\rd")},
      {"blank_in_name_of_length", ok + "Content-Length : 1\r\n\r\n" + body},
      {"blank_in_name_of_coding",
       ok + "Transfer-Encoding : chunked\r\n" + chunks},
      {"two_lengths", ok + "Content-Length: 1\r\n" + with_body},
      {"lengths_in_a_list", ok + "Content-Length: 1, 5\r\n\r\n" + body},
      {"length_with_sign", ok + "Content-Length: +5\r\n\r\n" + body},
      {"length_negative", ok + "Content-Length: -5\r\n\r\n" + body},
      {"length_in_hexadecimal", ok + "Content-Length: 0x5\r\n\r\n" + body},
      {"length_empty", ok + "Content-Length:\r\n\r\n" + body},
      {"length_with_text", ok + "Content-Length: 5a\r\n\r\n" + body},
      {"length_over_all_numbers",
       ok + "Content-Length: 99999999999999999999999\r\n\r\n" + body},
      {"length_and_chunks",
       ok + length + "Transfer-Encoding: chunked\r\n" + chunks},
      {"chunks_and_length",
       ok + "Transfer-Encoding: chunked\r\n" + length + chunks},
      {"coding_unknown", ok + "Transfer-Encoding: gzip\r\n\r\n" + body},
      {"coding_unknown_and_length",
       ok + "Transfer-Encoding: gzip\r\n" + with_body},
      {"coding_before_chunks",
       ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks},
      {"coding_after_chunks",
       ok + "Transfer-Encoding: chunked, gzip\r\n" + chunks},
      {"chunks_twice", ok + "Transfer-Encoding: chunked, chunked\r\n" + chunks},
      {"chunks_in_two_fields",
       ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" +
           chunks},
      {"chunks_with_parameter",
       ok + "Transfer-Encoding: chunked;a=b\r\n" + chunks},
      {"chunk_size_no_number",
       ok + "Transfer-Encoding: chunked\r\n\r\nx\r\nh\r\n0\r\n\r\n"},
      {"chunk_longer_than_its_size",
       ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nhello\r\n0\r\n\r\n"},
      {"bytes_before_the_status_line", "hello" + ok + with_body},
  };
}

/// @return odd ways to send a response whose body is `body`.
inline std::vector<SentResponse> ProperResponses(
    const std::string& fields = "",
    const std::string& body = "hello") {
  const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string with_body = length + "\r\n" + body;
  std::ostringstream chunks_text;
  chunks_text << "\r\n1\r\n"
              << body.substr(0, 1) << "\r\n"
              << std::hex << body.size() - 1 << "\r\n"
              << body.substr(1) << "\r\n0\r\n";
  const std::string chunks = chunks_text.str();
  return {
      {"plain", ok + with_body},
      {"version_1_0", "HTTP/1.0 200 OK\r\n" + fields + with_body},
      {"empty_reason", "HTTP/1.1 200 \r\n" + fields + with_body},
      {"status_without_known_name",
       "HTTP/1.1 299 Odd\r\n" + fields + with_body},
      {"odd_characters_in_name", ok + "!#$%&'*+-.^_`|~9: a\r\n" + with_body},
      {"high_bytes_and_tab_in_value", ok + "Ab: \xe4\tb\xff\r\n" + with_body},
      {"empty_value", ok + "Ab:\r\n" + with_body},
      {"spaces_around_length", ok + "content-length: \t " +
                                   std::to_string(body.size()) + " \r\n\r\n" +
                                   body},
      {"chunks", ok + "Transfer-Encoding: chunked\r\n" + chunks + "\r\n"},
      {"chunks_in_capitals",
       ok + "TRANSFER-ENCODING: Chunked\r\n" + chunks + "\r\n"},
      {"chunks_with_a_trailer",
       ok + "Transfer-Encoding: chunked\r\n" + chunks + "Ab: c\r\n\r\n"},
      {"interim_first",
       "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + ok + with_body},
  };
}

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_BROKEN_RESPONSES_H_
