// Reads typed values from a `YamlTree`.

#include "settings/settings_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

namespace bluebellstep {
namespace {

// Maximum length of a wrong value that is quoted in an error.
constexpr std::size_t kMaxQuotedBytes = 80;

// Longest accepted duration, about 100 years. Prevents overflow of sums of durations.
constexpr std::uint64_t kMaxDurationMs = 100ull * 366 * 24 * 3600 * 1000;

struct Unit {
  std::string_view suffix;
  std::uint64_t factor;
};

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Reads a number followed by exactly one of `units`, which are tried in order.
template <std::size_t N>
std::optional<std::uint64_t> parse_with_unit(std::string_view text,
                                             const std::array<Unit, N>& units) {
  for (const Unit& unit : units) {
    if (!text.ends_with(unit.suffix)) {
      continue;
    }
    const auto number = parse_number(text.substr(0, text.size() - unit.suffix.size()));
    if (number && *number <= std::numeric_limits<std::uint64_t>::max() / unit.factor) {
      return *number * unit.factor;
    }
    return std::nullopt;
  }
  return std::nullopt;
}

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text.substr(0, kMaxQuotedBytes)) {
    out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  out += text.size() > kMaxQuotedBytes ? "...\"" : "\"";
  return out;
}

std::string describe_range(std::string_view noun, NumberRange range) {
  std::string text(noun);
  if (range.maximum != std::numeric_limits<std::uint64_t>::max()) {
    return text + " from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
  }
  return range.minimum == 0 ? text : text + " of at least " + std::to_string(range.minimum);
}

}  // namespace

std::optional<Duration> parse_duration(std::string_view text) {
  static constexpr std::array<Unit, 4> kUnits = {Unit{"ms", 1}, Unit{"s", 1000}, Unit{"m", 60'000},
                                                 Unit{"h", 3'600'000}};
  const auto ms = parse_with_unit(text, kUnits);
  if (!ms || *ms > kMaxDurationMs) {
    return std::nullopt;
  }
  return Duration{static_cast<std::int64_t>(*ms)};
}

std::optional<std::uint64_t> parse_size(std::string_view text) {
  static constexpr std::array<Unit, 4> kUnits = {Unit{"KB", 1ull << 10}, Unit{"MB", 1ull << 20},
                                                 Unit{"GB", 1ull << 30}, Unit{"", 1}};
  return parse_with_unit(text, kUnits);
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string ip(text.substr(0, colon));
  const auto port = parse_number(text.substr(colon + 1));
  if (!port || *port > 65535) {
    return std::nullopt;
  }
  std::array<unsigned char, sizeof(in6_addr)> address;
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, ip.c_str(), address.data()) != 1) {
    return std::nullopt;
  }
  return Endpoint{ip, static_cast<std::uint16_t>(*port)};
}

std::string SettingsError::to_string() const {
  std::string text = file;
  if (line > 0) {
    text += ":" + std::to_string(line);
  }
  text += ": ";
  if (!key.empty()) {
    text += key + ": ";
  }
  return text + "found " + found + ", expected " + expected;
}

std::string SettingsErrors::to_string() const {
  std::string text;
  for (const SettingsError& error : errors) {
    text += error.to_string() + "\n";
  }
  return text;
}

std::string SettingsReader::Section::path_of(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

std::optional<YamlNodeId> SettingsReader::Section::find(std::string_view key, Presence presence) {
  YamlNode& mapping = reader_->tree_.node(node_);
  std::optional<YamlNodeId> found;
  for (YamlNode::Member& member : mapping.members) {
    if (member.key == key) {
      member.read = true;
      found = found ? found : member.value;
    }
  }
  if (!found && presence == Presence::kRequired && !reader_->tree_.syntax_error()) {
    reader_->add_error(mapping.line, path_of(key), "nothing", "a value");
  }
  return found;
}

std::optional<std::string_view> SettingsReader::Section::scalar(std::string_view key,
                                                                Presence presence,
                                                                std::string_view expected) {
  const auto id = find(key, presence);
  if (!id) {
    return std::nullopt;
  }
  const YamlNode& node = reader_->tree_.node(*id);
  if (node.kind != YamlNode::Kind::kScalar) {
    add_error(key, expected);
    return std::nullopt;
  }
  return node.text;
}

void SettingsReader::Section::read(std::string_view key, std::string& out, Presence presence) {
  const auto text = scalar(key, presence, "a string");
  if (text && text->empty()) {
    add_error(key, "a non-empty string");
  } else if (text) {
    out = *text;
  }
}

void SettingsReader::Section::read(std::string_view key, bool& out, Presence presence) {
  const auto text = scalar(key, presence, "true or false");
  if (text && *text != "true" && *text != "false") {
    add_error(key, "true or false");
  } else if (text) {
    out = *text == "true";
  }
}

void SettingsReader::Section::read(std::string_view key, Duration& out, Presence presence) {
  constexpr std::string_view kExpected = "a duration such as 500ms, 2s, 5m or 1h";
  const auto text = scalar(key, presence, kExpected);
  if (!text) {
    return;
  }
  if (const auto duration = parse_duration(*text)) {
    out = *duration;
  } else {
    add_error(key, kExpected);
  }
}

void SettingsReader::Section::read(std::string_view key, Endpoint& out, Presence presence) {
  constexpr std::string_view kExpected = "an IP address and port such as 10.0.0.1:8080";
  const auto text = scalar(key, presence, kExpected);
  if (!text) {
    return;
  }
  if (const auto endpoint = parse_endpoint(*text)) {
    out = *endpoint;
  } else {
    add_error(key, kExpected);
  }
}

void SettingsReader::Section::read(std::string_view key, double& out, Presence presence) {
  const auto text = scalar(key, presence, "a number");
  if (!text) {
    return;
  }
  double number = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
  if (error != std::errc() || end != text->data() + text->size() || !std::isfinite(number)) {
    add_error(key, "a number");
  } else {
    out = number;
  }
}

void SettingsReader::Section::read(std::string_view key,
                                   std::uint64_t& out,
                                   Presence presence,
                                   NumberRange range) {
  const std::string expected = describe_range("a whole number", range);
  const auto text = scalar(key, presence, expected);
  if (!text) {
    return;
  }
  const auto number = parse_number(*text);
  if (!number || *number < range.minimum || *number > range.maximum) {
    add_error(key, expected);
  } else {
    out = *number;
  }
}

void SettingsReader::Section::read(std::string_view key,
                                   std::uint32_t& out,
                                   Presence presence,
                                   NumberRange range) {
  std::uint64_t wide = out;
  range.maximum = std::min<std::uint64_t>(range.maximum, std::numeric_limits<std::uint32_t>::max());
  read(key, wide, presence, range);
  out = static_cast<std::uint32_t>(wide);
}

void SettingsReader::Section::read_size(std::string_view key,
                                        std::uint64_t& out,
                                        Presence presence,
                                        NumberRange range) {
  const std::string expected = describe_range("a size such as 512, 64KB, 64MB or 2GB", range);
  const auto text = scalar(key, presence, expected);
  if (!text) {
    return;
  }
  const auto size = parse_size(*text);
  if (!size || *size < range.minimum || *size > range.maximum) {
    add_error(key, expected);
  } else {
    out = *size;
  }
}

void SettingsReader::Section::read(std::string_view key,
                                   std::vector<std::string>& out,
                                   Presence presence) {
  const auto id = find(key, presence);
  if (!id) {
    return;
  }
  const YamlNode& list = reader_->tree_.node(*id);
  if (list.kind != YamlNode::Kind::kSequence) {
    return add_error(key, "a list of strings");
  }
  out.clear();
  for (std::size_t i = 0; i < list.elements.size(); ++i) {
    const YamlNode& element = reader_->tree_.node(list.elements[i]);
    if (element.kind != YamlNode::Kind::kScalar || element.text.empty()) {
      reader_->add_error(element.line, path_of(key) + "[" + std::to_string(i) + "]",
                         reader_->describe(list.elements[i]), "a non-empty string");
      continue;
    }
    out.push_back(element.text);
  }
}

void SettingsReader::Section::read(std::string_view key,
                                   std::vector<Endpoint>& out,
                                   Presence presence) {
  std::vector<std::string> texts;
  read(key, texts, presence);
  for (const std::string& text : texts) {
    if (const auto endpoint = parse_endpoint(text)) {
      out.push_back(*endpoint);
    } else {
      add_error(key, quoted(text), "an IP address and port such as 10.0.0.1:8080");
    }
  }
}

std::vector<std::pair<std::string, std::string>> SettingsReader::Section::read_string_map(
    std::string_view key,
    Presence presence) {
  std::vector<std::pair<std::string, std::string>> members;
  if (auto inner = section(key, presence)) {
    std::set<std::string> names;
    for (const YamlNode::Member& member : reader_->tree_.node(inner->node_).members) {
      names.insert(member.key);
    }
    for (const std::string& name : names) {
      std::string text;
      inner->read(name, text);
      members.emplace_back(name, text);
    }
  }
  return members;
}

std::optional<SettingsReader::Section> SettingsReader::Section::section(std::string_view key,
                                                                        Presence presence) {
  const auto id = find(key, presence);
  if (!id) {
    return std::nullopt;
  }
  if (reader_->tree_.node(*id).kind != YamlNode::Kind::kMapping) {
    add_error(key, "a mapping");
    return std::nullopt;
  }
  return Section(*reader_, *id, path_of(key));
}

std::vector<SettingsReader::Section> SettingsReader::Section::sections(std::string_view key,
                                                                       Presence presence) {
  const auto id = find(key, presence);
  if (!id) {
    return {};
  }
  const YamlNode& list = reader_->tree_.node(*id);
  if (list.kind != YamlNode::Kind::kSequence) {
    add_error(key, "a list of mappings");
    return {};
  }
  std::vector<Section> sections;
  for (std::size_t i = 0; i < list.elements.size(); ++i) {
    const std::string path = path_of(key) + "[" + std::to_string(i) + "]";
    const YamlNode& element = reader_->tree_.node(list.elements[i]);
    if (element.kind != YamlNode::Kind::kMapping) {
      reader_->add_error(element.line, path, reader_->describe(list.elements[i]), "a mapping");
      continue;
    }
    sections.push_back(Section(*reader_, list.elements[i], path));
  }
  return sections;
}

void SettingsReader::Section::add_error(std::string_view key, std::string_view expected) {
  const YamlNode& mapping = reader_->tree_.node(node_);
  for (const YamlNode::Member& member : mapping.members) {
    if (member.key == key) {
      return reader_->add_error(member.line, path_of(key), reader_->describe(member.value),
                                expected);
    }
  }
  reader_->add_error(mapping.line, path_of(key), "nothing", expected);
}

void SettingsReader::Section::add_error(std::string_view key,
                                        std::string_view found,
                                        std::string_view expected) {
  const YamlNode& mapping = reader_->tree_.node(node_);
  const auto member = std::find_if(mapping.members.begin(), mapping.members.end(),
                                   [key](const auto& candidate) { return candidate.key == key; });
  const int line = member == mapping.members.end() ? mapping.line : member->line;
  reader_->add_error(line, path_of(key), found, expected);
}

SettingsReader::SettingsReader(std::string_view file, std::string_view text)
    : file_(file), tree_(text) {
  if (const auto& error = tree_.syntax_error()) {
    add_error(error->line, "", "invalid YAML (" + error->detail + ")", "one YAML document");
  } else if (tree_.node(tree_.root()).kind != YamlNode::Kind::kMapping) {
    add_error(1, "", describe(tree_.root()), "a mapping");
  }
}

SettingsReader::Section SettingsReader::root() {
  return Section(*this, tree_.root(), "");
}

SettingsErrors SettingsReader::finish() {
  if (tree_.syntax_error()) {
    errors_.errors.erase(
        errors_.errors.begin() + 1,
        errors_.errors.end());  // All later errors are consequences of the syntax error.
    return errors_;
  }
  check_members(tree_.root(), "");
  std::stable_sort(errors_.errors.begin(), errors_.errors.end(),
                   [](const auto& a, const auto& b) { return a.line < b.line; });
  return errors_;
}

void SettingsReader::add_error(int line,
                               std::string key,
                               std::string_view found,
                               std::string_view expected) {
  errors_.errors.push_back(
      {file_, line, std::move(key), std::string(found), std::string(expected)});
}

void SettingsReader::check_members(YamlNodeId id, const std::string& path) {
  const YamlNode& node = tree_.node(id);
  for (std::size_t i = 0; i < node.elements.size(); ++i) {
    check_members(node.elements[i], path + "[" + std::to_string(i) + "]");
  }
  std::set<std::string_view> seen;
  for (const YamlNode::Member& member : node.members) {
    const std::string member_path = path.empty() ? member.key : path + "." + member.key;
    if (!seen.insert(member.key).second) {
      add_error(member.line, member_path, "a duplicate key", "each key once");
    } else if (!member.read) {
      add_error(member.line, member_path, "an unknown key", "only known keys");
    } else {
      check_members(member.value, member_path);
    }
  }
}

std::string SettingsReader::describe(YamlNodeId id) const {
  const YamlNode& node = tree_.node(id);
  switch (node.kind) {
    case YamlNode::Kind::kNull:
      return "nothing";
    case YamlNode::Kind::kScalar:
      return quoted(node.text);
    case YamlNode::Kind::kSequence:
      return "a list";
    case YamlNode::Kind::kMapping:
      return "a mapping";
  }
  return "";
}

}  // namespace bluebellstep
