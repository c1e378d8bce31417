// Reads JSON text from other processes.
//
// A tree of values takes many times the memory of its text, and nlohmann::json copies and writes a
// tree by recursion. Text that nests too deeply would therefore exhaust the memory or the stack, so
// its depth is checked before a tree is built. `json_elements` and `json_members` split text
// without building a tree, so that one part that cannot be read does not affect the others.

#ifndef BLUEBELLSTEP_BASE_JSON_TEXT_H_
#define BLUEBELLSTEP_BASE_JSON_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace bluebellstep {

/** Text from other processes may nest arrays and objects up to this depth. */
inline constexpr std::size_t kMaxJsonDepth = 64;

/** Whether no value in `text` is nested more deeply than `kMaxJsonDepth`. */
bool within_json_depth(std::string_view text);

/** Parses `text`. Returns a discarded value if it is not JSON or nests too deeply. */
nlohmann::json parse_json(std::string_view text);

/** Whether `text` is valid UTF-8. */
bool is_utf8(std::string_view text);

/** A member of a JSON object, as it is written. */
struct JsonMember {
  std::string_view name;  // Without quotes; escape sequences are not decoded.
  std::string_view value;
};

/** Splits the text of an array or object into the texts of its elements or members. Returns nothing
 * if `text` is not an array or object, or if its brackets or quotes do not match. The parts are not
 * checked further. */
std::optional<std::vector<std::string_view>> json_elements(std::string_view text);
std::optional<std::vector<JsonMember>> json_members(std::string_view text);

/** Returns the value of the first member `name`, or an empty view. */
std::string_view find_json_member(const std::vector<JsonMember>& members, std::string_view name);

/** Converts a JSON number to an integer from 0 to `max`. Throws `nlohmann::json::exception` for
 * other values and for numbers with a fraction. */
std::uint64_t read_json_count(const nlohmann::json& json,
                              std::uint64_t max = std::numeric_limits<std::int64_t>::max());

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_BASE_JSON_TEXT_H_
