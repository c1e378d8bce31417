// Parses message heads and bodies with picohttpparser, which is part of libh2o.

#include "http1/message_parser.h"

#include <algorithm>
#include <array>
#include <charconv>

// Debian's libh2o package contains no header for the parser; these are its public declarations.
extern "C" {
struct phr_header {  // NOLINT(readability-identifier-naming)
  const char* name;
  size_t name_len;
  const char* value;
  size_t value_len;
};
int phr_parse_request(const char* buf,
                      size_t len,
                      const char** method,
                      size_t* method_len,
                      const char** path,
                      size_t* path_len,
                      int* minor_version,
                      phr_header* headers,
                      size_t* num_headers,
                      size_t last_len);
int phr_parse_response(const char* buf,
                       size_t len,
                       int* minor_version,
                       int* status,
                       const char** msg,
                       size_t* msg_len,
                       phr_header* headers,
                       size_t* num_headers,
                       size_t last_len);
}

namespace bluebellstep {
namespace {

// A message with more header fields is malformed.
constexpr std::size_t kMaxFields = 100;

using RawFields = std::array<phr_header, kMaxFields>;

bool copy_fields(const RawFields& raw, std::size_t count, MessageHead& head) {
  head.fields.clear();
  head.fields.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    // A null name marks a folded line. HTTP implementations interpret these differently.
    if (raw[i].name == nullptr || raw[i].name_len == 0) {
      return false;
    }
    std::string_view value(raw[i].value, raw[i].value_len);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
      value.remove_suffix(1);
    }
    head.fields.push_back({std::string_view(raw[i].name, raw[i].name_len), value});
  }
  return true;
}

// Returns the length of the head up to and including its empty line; 0 if that has not arrived.
std::size_t head_length(std::string_view bytes) {
  const std::size_t crlf = bytes.find("\r\n\r\n");
  return crlf == std::string_view::npos ? 0 : crlf + 4;
}

bool has_bare_line_feed(std::string_view bytes) {
  for (std::size_t at = bytes.find('\n'); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    if (at == 0 || bytes[at - 1] != '\r') {
      return true;
    }
  }
  return false;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool is_chunked(const MessageHead& head) {
  return head.count("transfer-encoding") == 1 &&
         equal_ignoring_case(*head.find("transfer-encoding"), "chunked");
}

/** The fields of a head that tell where the body ends. */
struct FramingFields {
  bool chunked = false;                 // Then there is no length.
  std::optional<std::uint64_t> length;  // In bytes.
};

// Returns nothing if the fields are contradictory or unknown. RFC 9112, section 6.1, also rules out
// chunks in HTTP/1.0.
std::optional<FramingFields> parse_framing_fields(const MessageHead& head) {
  const bool encoded = head.count("transfer-encoding") > 0;
  const std::size_t length_count = head.count("content-length");
  if (length_count == 0) {
    const bool valid = !encoded || (is_chunked(head) && head.minor_version > 0);
    return valid ? std::optional(FramingFields{.chunked = encoded}) : std::nullopt;
  }
  const auto length = parse_decimal(*head.find("content-length"));
  if (encoded || length_count > 1 || !length) {
    return std::nullopt;
  }
  return FramingFields{.length = length};
}

BodyFraming framing_by_fields(const FramingFields& fields) {
  if (fields.chunked) {
    return ChunkedBody{};
  }
  if (fields.length.value_or(0) > 0) {
    return LengthBody{*fields.length};
  }
  return NoBody{};
}

}  // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c; };
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                            [&](char x, char y) { return lower(x) == lower(y); });
}

bool list_contains(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (equal_ignoring_case(trimmed(list.substr(0, comma)), token)) {
      return true;
    }
    list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
  }
  return false;
}

std::optional<std::uint64_t> parse_decimal(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::string_view> MessageHead::find(std::string_view name) const {
  for (const HeaderField& field : fields) {
    if (equal_ignoring_case(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::size_t MessageHead::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(),
      [name](const HeaderField& field) { return equal_ignoring_case(field.name, name); }));
}

HeadStatus parse_request_head(std::string_view bytes, MessageHead& head, std::size_t& consumed) {
  const std::size_t length = head_length(bytes);
  if (length == 0) {
    return HeadStatus::kIncomplete;
  }
  head.text.assign(bytes.substr(0, length));
  RawFields raw;
  std::size_t count = raw.size();
  const char* method = nullptr;
  const char* target = nullptr;
  std::size_t method_length = 0;
  std::size_t target_length = 0;
  const int parsed =
      phr_parse_request(head.text.data(), head.text.size(), &method, &method_length, &target,
                        &target_length, &head.minor_version, raw.data(), &count, 0);
  // The parser also accepts bare line feeds as line ends. If it then finds the end of the head
  // before `length`, the head is malformed.
  if (parsed != static_cast<int>(length) || !copy_fields(raw, count, head)) {
    return HeadStatus::kMalformed;
  }
  head.method = std::string_view(method, method_length);
  head.target = std::string_view(target, target_length);
  consumed = length;
  return HeadStatus::kComplete;
}

HeadStatus parse_response_head(std::string_view bytes, MessageHead& head, std::size_t& consumed) {
  constexpr std::string_view kStart = "HTTP/1.";
  if (!kStart.starts_with(bytes.substr(0, kStart.size()))) {
    return HeadStatus::kMalformed;
  }
  const std::size_t length = head_length(bytes);
  if (length == 0) {
    return HeadStatus::kIncomplete;
  }
  head.text.assign(bytes.substr(0, length));
  RawFields raw;
  std::size_t count = raw.size();
  const char* message = nullptr;
  std::size_t message_length = 0;
  const int parsed =
      phr_parse_response(head.text.data(), head.text.size(), &head.minor_version, &head.status,
                         &message, &message_length, raw.data(), &count, 0);
  // The parser accepts any three digits as a status, and bare line feeds as line ends. A server
  // sends none of these, so that one is a changed byte.
  if (parsed != static_cast<int>(length) || !is_valid_status(head.status) ||
      has_bare_line_feed(head.text) || !copy_fields(raw, count, head)) {
    return HeadStatus::kMalformed;
  }
  consumed = length;
  return HeadStatus::kComplete;
}

std::optional<BodyFraming> request_framing(const MessageHead& head) {
  const auto fields = parse_framing_fields(head);
  return fields ? std::optional(framing_by_fields(*fields)) : std::nullopt;
}

std::optional<BodyFraming> response_framing(const MessageHead& head, std::string_view method) {
  if (method == "HEAD" || head.status == 204 || head.status == 304) {
    return NoBody{};
  }
  const auto fields = parse_framing_fields(head);
  if (!fields) {
    return std::nullopt;
  }
  if (!fields->chunked && !fields->length) {
    return UntilCloseBody{};
  }
  return framing_by_fields(*fields);
}

BodyDecoder::BodyDecoder(const BodyFraming& framing) : framing_(framing) {
  if (const auto* sized = std::get_if<LengthBody>(&framing_)) {
    remaining_bytes_ = sized->length;
  }
  complete_ = std::holds_alternative<NoBody>(framing_);
}

BodyDecoder::Result BodyDecoder::feed(std::string_view bytes, std::string& content) {
  if (complete_) {
    return {.status = Status::kComplete, .consumed = 0};
  }
  if (std::holds_alternative<UntilCloseBody>(framing_)) {
    content += bytes;
    return {.status = Status::kNeedMoreBytes, .consumed = bytes.size()};
  }
  if (std::holds_alternative<LengthBody>(framing_)) {
    const std::size_t take =
        static_cast<std::size_t>(std::min<std::uint64_t>(remaining_bytes_, bytes.size()));
    content += bytes.substr(0, take);
    remaining_bytes_ -= take;
    complete_ = remaining_bytes_ == 0;
    return {.status = complete_ ? Status::kComplete : Status::kNeedMoreBytes, .consumed = take};
  }
  const Result result = chunks_.feed(bytes, content);
  complete_ = result.status == Status::kComplete;
  return result;
}

}  // namespace bluebellstep
