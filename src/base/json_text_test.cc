// Tests of reading JSON text from other processes.

#include "base/json_text.h"

#include <catch2/catch.hpp>
#include <string>

namespace bluebellstep {

TEST_CASE("JSON text is split into its parts", "[json]") {
  const auto elements = json_elements(R"( [1, "a,]\"b" ,{"x":[2,3]}, []] )");
  REQUIRE(elements);
  REQUIRE(elements->size() == 4);
  CHECK((*elements)[1] == R"("a,]\"b")");
  CHECK((*elements)[2] == R"({"x":[2,3]})");
  CHECK(json_elements("[ ]")->empty());
  const auto members = json_members(R"({"a":{"b":1}, "c" : "x:y,z"})");
  REQUIRE(members);
  CHECK(find_json_member(*members, "a") == R"({"b":1})");
  CHECK(find_json_member(*members, "c") == R"("x:y,z")");
  CHECK(find_json_member(*members, "b").empty());
}

// Guards against reads beyond the end of text that was cut off or is not JSON.
TEST_CASE("text whose brackets or quotes do not match is not split", "[json]") {
  for (const std::string_view text :
       {"", "[", "]", "[[]", "[]]", "[\"]", "[\"\\\"]", "{\"a\":[}", "[1]x", "x[1]", "{]"}) {
    CAPTURE(text);
    const auto elements = json_elements(text);
    CHECK_FALSE((elements && !elements->empty()));
    CHECK_FALSE(json_members(text));
  }
  CHECK_FALSE(json_members("{1}"));
}

// Guards against text whose tree of values exhausts the memory or the stack.
TEST_CASE("text that nests too deeply is not parsed", "[json]") {
  const auto nested = [](std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  CHECK(parse_json(nested(kMaxJsonDepth)).is_array());
  CHECK(parse_json(nested(kMaxJsonDepth + 1)).is_discarded());
  CHECK(parse_json(std::string(1'000'000, '[')).is_discarded());
  CHECK(parse_json(R"({"a":"[[[[\"[[["})").is_object());
}

TEST_CASE("invalid UTF-8 is recognized", "[json]") {
  CHECK(is_utf8("a\xc3\xa9\xe2\x82\xac\xf0\x9f\x8e\x89"));
  for (const std::string_view text : {"\xff", "\xc3", "\xc0\x80", "\xe0\x80\x80", "\xed\xa0\x80",
                                      "\xf4\x90\x80\x80", "\xf0\x9f\x8e", "\x80"}) {
    CHECK_FALSE(is_utf8(text));
  }
}

TEST_CASE("only whole numbers within the range are counts", "[json]") {
  CHECK(read_json_count(parse_json("7")) == 7);
  CHECK(read_json_count(parse_json("7.0")) == 7);
  CHECK(read_json_count(parse_json("7"), 7) == 7);
  for (const std::string_view text : {"8", "-1", "7.5", "1e300", "\"7\"", "null", "[7]"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(read_json_count(parse_json(text), 7), nlohmann::json::exception);
  }
}

}  // namespace bluebellstep
