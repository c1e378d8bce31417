// Tests of message heads, framing and bodies.

#include "http1/message_parser.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "http/header_check.h"

namespace bluebellstep {
namespace {

std::optional<BodyFraming> framing_of(std::string_view text) {
  MessageHead head;
  std::size_t consumed = 0;
  REQUIRE(parse_request_head(text, head, consumed) == HeadStatus::kComplete);
  return request_framing(head);
}

HeadStatus parse_request(std::string_view text) {
  MessageHead head;
  std::size_t consumed = 0;
  return parse_request_head(text, head, consumed);
}

HeadStatus parse_response(std::string_view text) {
  MessageHead head;
  std::size_t consumed = 0;
  return parse_response_head(text, head, consumed);
}

}  // namespace

TEST_CASE("a request head is parsed with its fields as received", "[http1]") {
  MessageHead head;
  std::size_t consumed = 0;
  const std::string text = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Id:  7 \r\n\r\nrest";
  REQUIRE(parse_request_head(text, head, consumed) == HeadStatus::kComplete);
  CHECK(consumed == text.size() - 4);
  CHECK(head.method == "POST");
  CHECK(head.target == "/a/b?c=1");
  CHECK(head.find("x-id") == "7");
}

TEST_CASE("a head without its empty line is incomplete", "[http1]") {
  MessageHead head;
  std::size_t consumed = 0;
  CHECK(parse_request_head("GET / HTTP/1.1\r\nHost: h\r\n", head, consumed) ==
        HeadStatus::kIncomplete);
}

// Guards against request smuggling: another HTTP implementation may find the end of the first
// request elsewhere and take the rest for a second request.
TEST_CASE("contradictory request framing is rejected", "[http1]") {
  CHECK_FALSE(
      framing_of("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"));
  CHECK_FALSE(framing_of("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"));
  CHECK_FALSE(framing_of("POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n"));
  CHECK_FALSE(framing_of("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"));
  CHECK_FALSE(framing_of(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"));
  CHECK_FALSE(framing_of("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"));
}

// Guards against a body that another recipient ends elsewhere. RFC 9112, section 6.1, calls chunks
// in HTTP/1.0 faulty.
TEST_CASE("contradictory response framing is rejected", "[http1]") {
  const std::string head =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6",
               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
               "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked");
  CAPTURE(head);
  MessageHead parsed;
  std::size_t consumed = 0;
  REQUIRE(parse_response_head(head + "\r\n\r\n", parsed, consumed) == HeadStatus::kComplete);
  CHECK_FALSE(response_framing(parsed, "GET"));
}

TEST_CASE("folded lines and bare line feeds make a head malformed", "[http1]") {
  MessageHead head;
  std::size_t consumed = 0;
  CHECK(parse_request_head("GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n", head, consumed) ==
        HeadStatus::kMalformed);
  CHECK(parse_request_head("GET / HTTP/1.1\nA: b\n\nGET /x HTTP/1.1\r\n\r\n", head, consumed) ==
        HeadStatus::kMalformed);
}

TEST_CASE("bytes that are not a response are malformed from the first one on", "[http1]") {
  MessageHead head;
  std::size_t consumed = 0;
  CHECK(parse_response_head("garbage", head, consumed) == HeadStatus::kMalformed);
  CHECK(parse_response_head("HTT", head, consumed) == HeadStatus::kIncomplete);
}

// Guards against a field whose name another HTTP implementation reads as another name, which may
// move the end of the message.
TEST_CASE("a head with a field name that is no token is malformed", "[http1]") {
  for (int byte = 0; byte < 256; ++byte) {
    const char c = static_cast<char>(byte);
    if (c == ':') {
      continue;  // Ends the name.
    }
    CAPTURE(byte);
    const HeadStatus expected = is_token({&c, 1}) ? HeadStatus::kComplete : HeadStatus::kMalformed;
    for (const std::string& name :
         {std::string{'X', c, 'Y'}, std::string{c, 'Y'}, std::string{'X', c}}) {
      const std::string field = name + ": 1\r\n\r\n";
      CHECK(parse_request("GET / HTTP/1.1\r\n" + field) == expected);
      CHECK(parse_response("HTTP/1.1 200 OK\r\n" + field) == expected);
    }
  }
}

// Guards against responses with a status that callers cannot interpret.
TEST_CASE("a response with an undefined status is malformed", "[http1]") {
  for (int status = 0; status <= 999; ++status) {
    CAPTURE(status);
    const std::string digits = std::to_string(1000 + status).substr(1);
    const bool defined = status >= 100 && status <= 599 && status != 101;
    CHECK(parse_response("HTTP/1.1 " + digits + " X\r\n\r\n") ==
          (defined ? HeadStatus::kComplete : HeadStatus::kMalformed));
  }
  for (const std::string_view status : {"20", "0200", "2000", "-20", "+200", "2x0", " 200"}) {
    CAPTURE(status);
    CHECK(parse_response("HTTP/1.1 " + std::string(status) + " X\r\n\r\n") ==
          HeadStatus::kMalformed);
  }
}

TEST_CASE("a body of known length does not consume the bytes after it", "[http1]") {
  BodyDecoder body(LengthBody{3});
  std::string content;
  const auto result = body.feed("abcHTTP", content);
  CHECK(result.status == BodyDecoder::Status::kComplete);
  CHECK(result.consumed == 3);
  CHECK(content == "abc");
}

TEST_CASE("a chunked body is decoded from pieces of any size", "[http1]") {
  BodyDecoder body(ChunkedBody{});
  const std::string text = "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  std::string content;
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    CHECK(body.feed(text.substr(i, 1), content).status == BodyDecoder::Status::kNeedMoreBytes);
  }
  const auto result = body.feed(text.substr(text.size() - 1) + "X", content);
  CHECK(result.status == BodyDecoder::Status::kComplete);
  CHECK(result.consumed == 1);
  CHECK(content == "abcde");
}

TEST_CASE("a chunk size that is not a number is malformed", "[http1]") {
  BodyDecoder body(ChunkedBody{});
  std::string content;
  CHECK(body.feed("zz\r\n", content).status == BodyDecoder::Status::kMalformed);
}

// Guards against a changed byte in the framing of a chunked body that passes for a complete body.
TEST_CASE("a chunked body with framing that the standard does not allow is malformed", "[http1]") {
  const std::string body =
      GENERATE("\r\n", "3x\r\nabc\r\n0\r\n\r\n", "3\nabc\r\n0\r\n\r\n", "3 \r\nabc\r\n0\r\n\r\n",
               "3\r\nabcd\r\n0\r\n\r\n", "3\r\nabc\n0\r\n\r\n", "3;a\nabc\r\n0\r\n\r\n",
               "0\r\nx\r\n\r\n", "0\r\n: x\r\n\r\n", "0\r\nx y: 1\r\n\r\n", "0\r\nx: 1\n\r\n",
               "0\r\n\rx", "-1\r\n", "10000000000000000\r\n");
  CAPTURE(body);
  BodyDecoder decoder(ChunkedBody{});
  std::string content;
  CHECK(decoder.feed(body, content).status == BodyDecoder::Status::kMalformed);
}

TEST_CASE("a chunked body may have extensions and trailers", "[http1]") {
  const std::string body =
      GENERATE("3;a=b\r\nabc\r\n0\r\n\r\n", "3 ;a\r\nabc\r\n000;x\r\n\r\n",
               "3\r\nabc\r\n0\r\nSum: 1\r\nother:\r\n\r\n", "0003\r\nabc\r\n0\r\n\r\n");
  CAPTURE(body);
  BodyDecoder decoder(ChunkedBody{});
  std::string content;
  CHECK(decoder.feed(body, content).status == BodyDecoder::Status::kComplete);
  CHECK(content == "abc");
}

// Guards against memory or time that an unlimited line of a faulty peer takes.
TEST_CASE("a chunked body with an endless line or endless trailers is malformed", "[http1]") {
  const auto [start, part] = GENERATE(table<std::string, std::string>(
      {{"3;", "x"}, {"", "0"}, {"0\r\n", "x"}, {"0\r\n", "x: 1\r\n"}}));
  BodyDecoder decoder(ChunkedBody{});
  std::string content;
  decoder.feed(start, content);
  std::string endless;
  while (endless.size() <= ChunkDecoder::kMaxLineBytes) {
    endless += part;
  }
  CHECK(decoder.feed(endless, content).status == BodyDecoder::Status::kMalformed);
}

// Guards against a line end that a changed byte leaves incomplete and the parser accepts.
TEST_CASE("a response head with a bare line feed is malformed", "[http1]") {
  CHECK(parse_response("HTTP/1.1 200 OK\nA: b\r\n\r\n") == HeadStatus::kMalformed);
  CHECK(parse_response("HTTP/1.1 200 OK\r\nA: bx\nC: d\r\n\r\n") == HeadStatus::kMalformed);
}

TEST_CASE("a response without a length ends with its connection", "[http1]") {
  MessageHead head;
  std::size_t consumed = 0;
  REQUIRE(parse_response_head("HTTP/1.1 200 OK\r\n\r\n", head, consumed) == HeadStatus::kComplete);
  const auto framing = response_framing(head, "GET");
  REQUIRE(framing);
  BodyDecoder body(*framing);
  std::string content;
  CHECK(body.feed("abc", content).status == BodyDecoder::Status::kNeedMoreBytes);
  CHECK(body.ends_with_connection());
}

}  // namespace bluebellstep
