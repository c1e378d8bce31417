// Encoding of the work of client accounts.

#include "gateway/account_work_datagram.h"

#include <string_view>
#include <utility>

#include "gateway/datagram_format.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kTag = "account_work";
constexpr std::size_t kMinFields = 5;

// Sums above this are not produced by any gateway; they would make the sums of work overflow.
constexpr std::uint64_t kMaxTokens = std::uint64_t{1} << 53;

Cost decode_cost(const Json& value) {
  const auto tokens = value.get<std::uint64_t>();
  if (value.is_number_integer() && !value.is_number_unsigned()) {
    return {};
  }
  return {static_cast<std::int64_t>(tokens < kMaxTokens ? tokens : 0)};
}

}  // namespace

std::string encode_account_work(const AccountWorkReport& report) {
  Json accounts = Json::array();
  for (const AccountWork& work : report.accounts) {
    accounts.push_back({work.service_key, work.account_key, work.sent.tokens, work.refused.tokens});
  }
  std::string out;
  Json::to_msgpack(
      Json{kTag, report.gateway, report.incarnation, std::move(accounts), report.refused_requests},
      out);
  return out;
}

std::optional<AccountWorkReport> decode_account_work(std::span<const std::uint8_t> bytes) {
  const auto json = parse_datagram(bytes);
  if (!json || json->size() < kMinFields || json->at(0) != kTag) {
    return std::nullopt;
  }
  try {
    AccountWorkReport report{.gateway = json->at(1).get<std::string>(),
                             .incarnation = json->at(2).get<std::uint64_t>(),
                             .accounts = {},
                             .refused_requests = json->at(4).get<std::vector<std::uint64_t>>()};
    for (const Json& work : json->at(3)) {
      report.accounts.push_back({.service_key = work.at(0).get<std::uint64_t>(),
                                 .account_key = work.at(1).get<std::uint64_t>(),
                                 .sent = decode_cost(work.at(2)),
                                 .refused = decode_cost(work.at(3))});
    }
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace bluebellstep
