// Splits and checks JSON text.

#include "base/json_text.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace bluebellstep {
namespace {

// Returns the position after the string that starts with the quote at `start`; `npos` if it does
// not end.
std::size_t end_of_string(std::string_view text, std::size_t start) {
  for (std::size_t i = text.find_first_of("\"\\", start + 1); i != std::string_view::npos;
       i = text.find_first_of("\"\\", i + 2)) {
    if (text[i] == '"') {
      return i + 1;
    }
  }
  return std::string_view::npos;
}

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kSpace);
  return first == std::string_view::npos
             ? std::string_view()
             : text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

// Calls `visit(part, colon)` for each part of an array or object between commas; `colon` is the
// position in `part` of the first colon outside of strings and nested values, or `npos`. Returns
// whether brackets and quotes match.
template <typename Visit>
bool visit_parts(std::string_view text, char open, char close, Visit visit) {
  text = trimmed(text);
  if (text.size() < 2 || text.front() != open || text.back() != close) {
    return false;
  }
  std::size_t depth = 0;
  std::size_t part_start = 1;
  std::size_t colon = std::string_view::npos;
  bool has_parts = false;
  for (std::size_t i = 0; i < text.size();) {
    const char c = text[i];
    if (c == '"') {
      i = end_of_string(text, i);
      if (i == std::string_view::npos) {
        return false;
      }
      continue;
    }
    if (c == '[' || c == '{') {
      ++depth;
    } else if (c == ']' || c == '}') {
      --depth;
      if (depth == 0) {
        const std::string_view part = text.substr(part_start, i - part_start);
        if (has_parts || !trimmed(part).empty()) {
          visit(part, colon);
        }
        return i + 1 == text.size();
      }
    } else if (c == ',' && depth == 1) {
      visit(text.substr(part_start, i - part_start), colon);
      has_parts = true;
      part_start = i + 1;
      colon = std::string_view::npos;
    } else if (c == ':' && depth == 1 && colon == std::string_view::npos) {
      colon = i - part_start;
    }
    ++i;
  }
  return false;
}

}  // namespace

bool within_json_depth(std::string_view text) {
  std::size_t depth = 0;
  for (std::size_t i = text.find_first_of("\"[]{}"); i != std::string_view::npos;
       i = text.find_first_of("\"[]{}", i)) {
    if (text[i] == '"') {
      i = end_of_string(text, i);
      continue;
    }
    if (text[i] == '[' || text[i] == '{') {
      if (++depth > kMaxJsonDepth) {
        return false;
      }
    } else {
      depth -= depth > 0 ? 1 : 0;
    }
    ++i;
  }
  return true;
}

nlohmann::json parse_json(std::string_view text) {
  if (!within_json_depth(text)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

bool is_utf8(std::string_view text) {
  const auto is_continuation = [&](std::size_t at) {
    return at < text.size() && (static_cast<unsigned char>(text[at]) & 0xc0u) == 0x80;
  };
  for (std::size_t i = 0; i < text.size();) {
    const auto first = static_cast<unsigned char>(text[i]);
    if (first < 0x80) {
      ++i;
      continue;
    }
    const std::size_t length = first >= 0xc2 && first <= 0xdf   ? 2
                               : first >= 0xe0 && first <= 0xef ? 3
                               : first >= 0xf0 && first <= 0xf4 ? 4
                                                                : 0;
    if (length == 0) {
      return false;
    }
    for (std::size_t k = 1; k < length; ++k) {
      if (!is_continuation(i + k)) {
        return false;
      }
    }
    // Rejects overlong encodings, surrogates and values above U+10FFFF.
    const auto second = static_cast<unsigned char>(text[i + 1]);
    if ((first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
        (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f)) {
      return false;
    }
    i += length;
  }
  return true;
}

std::optional<std::vector<std::string_view>> json_elements(std::string_view text) {
  std::vector<std::string_view> elements;
  const bool matched = visit_parts(text, '[', ']', [&](std::string_view part, std::size_t) {
    elements.push_back(trimmed(part));
  });
  return matched ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<std::vector<JsonMember>> json_members(std::string_view text) {
  std::vector<JsonMember> members;
  bool valid = true;
  const bool matched = visit_parts(text, '{', '}', [&](std::string_view part, std::size_t colon) {
    const std::string_view name =
        colon == std::string_view::npos ? std::string_view() : trimmed(part.substr(0, colon));
    valid = valid && name.size() >= 2 && name.front() == '"' && name.back() == '"';
    if (valid) {
      members.push_back(
          {.name = name.substr(1, name.size() - 2), .value = trimmed(part.substr(colon + 1))});
    }
  });
  return matched && valid ? std::optional(std::move(members)) : std::nullopt;
}

std::string_view find_json_member(const std::vector<JsonMember>& members, std::string_view name) {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [name](const JsonMember& member) { return member.name == name; });
  return found == members.end() ? std::string_view() : found->value;
}

std::uint64_t read_json_count(const nlohmann::json& json, std::uint64_t max) {
  if (json.is_number_float()) {
    // 2^53; larger numbers are not exact.
    constexpr double kMaxExact = 9007199254740992.0;
    const double value = json.get<double>();
    if (value >= 0 && value <= kMaxExact && value == std::floor(value) &&
        static_cast<std::uint64_t>(value) <= max) {
      return static_cast<std::uint64_t>(value);
    }
  } else if (json.is_number_unsigned() && json.get<std::uint64_t>() <= max) {
    return json.get<std::uint64_t>();
  }
  throw nlohmann::json::out_of_range::create(
      406, "number is not an integer from 0 to " + std::to_string(max), &json);
}

}  // namespace bluebellstep
