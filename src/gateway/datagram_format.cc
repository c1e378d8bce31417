// Checks and parses datagrams.

#include "gateway/datagram_format.h"

#include <string>

namespace bluebellstep {
namespace {

// Stops the parser at nested values that are deeper than the messages. The parser recurses, so
// a datagram of nested arrays would exhaust the stack.
class DepthCheck : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return false; }  // No message contains objects.
  bool key(string_t&) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
    return false;
  }

 private:
  static constexpr int kMaxDepth = 3;

  int depth_ = 0;
};

}  // namespace

std::optional<nlohmann::json> parse_datagram(std::span<const std::uint8_t> bytes) {
  DepthCheck depth_check;
  if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &depth_check,
                                 nlohmann::json::input_format_t::msgpack)) {
    return std::nullopt;
  }
  auto json = nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  return json.is_array() ? std::optional(std::move(json)) : std::nullopt;
}

}  // namespace bluebellstep
