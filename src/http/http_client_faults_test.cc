// Tests of the HTTP client with servers whose answers have changed, missing or additional bytes.

#include <catch2/catch.hpp>
#include <cctype>
#include <cstddef>
#include <future>
#include <memory>
#include <optional>
#include <random>
#include <regex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_client.h"
#include "http/http_loop.h"
#include "tests/support/raw_socket.h"

namespace bluebellstep {
namespace {

// Answers of engines, stores and peers to a gateway's own calls, and one of a streaming engine.
const std::vector<std::string>& recorded_answers() {
  static const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 29\r\n"
      "Connection: keep-alive\r\n\r\n{\"epoch\":7,\"next\":3,\"list\":1}",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Seq: 12\r\n\r\n"
      "5\r\nhello\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nTotal: 31\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 204 No Content\r\nServer-Seq: 13\r\n\r\n",
  };
  return answers;
}

/** Accepts a connection for each of `answers`, reads a request, sends the answer and closes the
 * connection. */
class FaultyServer {
 public:
  explicit FaultyServer(const std::vector<std::string>& answers)
      : thread_([this, &answers] {
          for (const std::string& answer : answers) {
            RawSocket connection = listener_.accept();
            connection.receive_until("\r\n\r\n");
            connection.send(answer);
            connection.close();
          }
        }) {}
  FaultyServer(const FaultyServer&) = delete;
  FaultyServer& operator=(const FaultyServer&) = delete;
  ~FaultyServer() { thread_.join(); }

  std::uint16_t port() const { return listener_.port(); }

 private:
  RawListener listener_;
  std::thread thread_;
};

using Content = std::optional<std::string>;

// Returns the content of a chunked body with the grammar of RFC 9112, section 7.1, or nothing.
Content chunked_content(std::string_view body) {
  static const std::regex size_line(R"(([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t -~\x80-\xff]*)?\r\n)");
  static const std::regex trailer(R"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\r\n)*\r\n)");
  std::string content;
  while (true) {
    std::cmatch line;
    if (!std::regex_search(body.begin(), body.end(), line, size_line,
                           std::regex_constants::match_continuous)) {
      return std::nullopt;
    }
    const std::size_t size = std::stoul(line[1], nullptr, 16);
    body.remove_prefix(static_cast<std::size_t>(line.length()));
    if (size == 0) {
      const bool ends = std::regex_search(body.begin(), body.end(), trailer,
                                          std::regex_constants::match_continuous);
      return ends ? Content(content) : std::nullopt;
    }
    if (body.size() < size + 2 || body.substr(size, 2) != "\r\n") {
      return std::nullopt;
    }
    content += body.substr(0, size);
    body.remove_prefix(size + 2);
  }
}

/** What the grammar of RFC 9112 says of an answer to GET whose connection ends after it: its status
 * and content, or nothing if it is broken or its end is not marked. Shares no code with the parser
 * of the client. */
std::optional<std::pair<int, std::string>> expected_response(std::string_view answer) {
  static const std::regex head_pattern(
      R"(HTTP/1\.([0-9]) ([1-5][0-9]{2}) [\t -~\x80-\xff]*\r\n)"
      R"(((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\r\n)*)\r\n)");
  static const std::regex field_pattern(
      R"((content-length|transfer-encoding):[ \t]*([^\r]*?)[ \t]*\r\n)",
      std::regex_constants::icase);
  std::cmatch head;
  int status = 0;
  do {
    if (!std::regex_search(answer.begin(), answer.end(), head, head_pattern,
                           std::regex_constants::match_continuous)) {
      return std::nullopt;
    }
    answer.remove_prefix(static_cast<std::size_t>(head.length()));
    status = std::stoi(head[2]);
  } while (status < 200 && status != 101);
  if (status == 101) {
    return std::nullopt;  // No call asks for another protocol.
  }
  if (status == 204 || status == 304) {
    return std::pair(status, std::string());
  }
  std::vector<std::string> lengths;
  std::vector<std::string> codings;
  const std::string fields = "\r\n" + head[3].str();
  for (std::size_t line = fields.find("\r\n") + 2; line < fields.size();
       line = fields.find("\r\n", line) + 2) {
    std::smatch field;
    if (std::regex_search(fields.begin() + static_cast<std::ptrdiff_t>(line), fields.end(), field,
                          field_pattern, std::regex_constants::match_continuous)) {
      (std::tolower(field[1].str()[0]) == 'c' ? lengths : codings).push_back(field[2]);
    }
  }
  if (codings.size() + lengths.size() != 1) {
    return std::nullopt;  // Contradictory, or without a marked end.
  }
  if (!codings.empty()) {
    static const std::regex chunked("chunked", std::regex_constants::icase);
    const Content content = chunked_content(answer);
    const bool known = std::regex_match(codings[0], chunked) && head[1] != "0";
    return known && content ? std::optional(std::pair(status, *content)) : std::nullopt;
  }
  static const std::regex number("[0-9]{1,9}");
  if (!std::regex_match(lengths[0], number) || answer.size() < std::stoul(lengths[0])) {
    return std::nullopt;
  }
  return std::pair(status, std::string(answer.substr(0, std::stoul(lengths[0]))));
}

/** Sends a call for each of `answers`, one after the other, and checks that it ends as the standard
 * demands. */
void check_outcomes(const std::vector<std::string>& answers) {
  HttpLoop loop;
  HttpClient client(loop);
  const FaultyServer server(answers);
  HttpCall call;
  call.endpoint = {"127.0.0.1", server.port()};
  call.own_connection = true;
  for (const std::string& answer : answers) {
    const HttpClient::Response response = client.send_and_wait(call);
    const auto expected = expected_response(answer);
    const bool complete = std::holds_alternative<HttpClient::Complete>(response.outcome);
    if (complete != expected.has_value() ||
        (expected && *expected != std::pair(response.status, response.body))) {
      CAPTURE(answer, complete, response.status, response.body);
      FAIL_CHECK("wrong outcome");
    }
  }
}

}  // namespace

// Guards against a server that ends the process by one wrong byte in the length or the coding of an
// answer: h2o's client asserted on such a head.
TEST_CASE("an answer with an unknown length or coding fails only its own call", "[http][client]") {
  const std::string head =
      GENERATE("Content-Length: 1x", "Content-Length: x",
               "Content-Length: ", "Content-Length: 99999999999999999999999999",
               "Content-Length: -1", "Transfer-Encoding: chunkex", "Transfer-Encoding: gzip",
               "Transfer-Encoding: ", "Transfer-Encoding: chunked, gzip");
  CAPTURE(head);
  HttpLoop loop;
  HttpClient client(loop);
  const std::vector<std::string> answers = {"HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n0\r\n\r\n",
                                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
  const FaultyServer server(answers);
  HttpCall call;
  call.endpoint = {"127.0.0.1", server.port()};
  const HttpClient::Response refused = client.send_and_wait(call);
  CHECK(std::holds_alternative<HttpClient::Failed>(refused.outcome));
  CHECK(refused.status == 0);
  CHECK(client.send_and_wait(call).body == "ok");
}

// Guards against a byte at any position of an answer that ends the process, or that makes the
// client take a broken answer for a complete one.
TEST_CASE("an answer with one changed byte ends its call as the standard demands",
          "[http][client]") {
  std::vector<std::string> answers;
  for (const std::string& recorded : recorded_answers()) {
    for (std::size_t i = 0; i < recorded.size(); ++i) {
      for (int value = 0; value < 256; ++value) {
        answers.push_back(recorded);
        answers.back()[i] = static_cast<char>(value);
      }
    }
  }
  check_outcomes(answers);
}

// Guards against a truncated answer that is taken for a complete one.
TEST_CASE("an answer truncated at any byte ends its call as the standard demands",
          "[http][client]") {
  std::vector<std::string> answers;
  for (const std::string& recorded : recorded_answers()) {
    for (std::size_t i = 0; i <= recorded.size(); ++i) {
      answers.push_back(recorded.substr(0, i));
    }
  }
  check_outcomes(answers);
}

// Guards against parts of several answers that end the process or pass for a complete answer.
TEST_CASE("an answer spliced from others ends its call as the standard demands", "[http][client]") {
  constexpr int kSplices = 2000;
  std::mt19937 random(11);
  const auto below = [&random](std::size_t limit) {
    return static_cast<std::size_t>(random()) % limit;
  };
  std::vector<std::string> answers;
  for (int i = 0; i < kSplices; ++i) {
    std::string answer;
    for (std::size_t parts = 2 + below(3); parts > 0; --parts) {
      const std::string& recorded = recorded_answers()[below(recorded_answers().size())];
      const std::size_t start = answer.empty() ? 0 : below(recorded.size());
      answer += recorded.substr(start, 1 + below(recorded.size() - start));
    }
    answers.push_back(std::move(answer));
  }
  check_outcomes(answers);
}

// Guards against a head that exhausts a table of header lines or the memory.
TEST_CASE("an answer with many or long header lines fails or is complete", "[http][client]") {
  const std::size_t lines = GENERATE(as<std::size_t>{}, 50, 101, 500, 5000);
  const std::size_t length = GENERATE(as<std::size_t>{}, 1, 100, 70000);
  std::string answer = "HTTP/1.1 200 OK\r\n";
  for (std::size_t i = 0; i < lines && answer.size() < (1u << 20); ++i) {
    answer += "X: " + std::string(length, 'v') + "\r\n";
  }
  answer += "Content-Length: 0\r\n\r\n";
  CAPTURE(lines, length);
  HttpLoop loop;
  HttpClient client(loop);
  const std::vector<std::string> answers = {answer};
  const FaultyServer server(answers);
  HttpCall call;
  call.endpoint = {"127.0.0.1", server.port()};
  const bool complete =
      std::holds_alternative<HttpClient::Complete>(client.send_and_wait(call).outcome);
  CHECK(complete == (lines == 50 && length <= 100));
}

}  // namespace bluebellstep
