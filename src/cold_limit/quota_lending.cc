// Records of loans, and the messages about them.

#include "cold_limit/quota_lending.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/datagram_format.h"

namespace bluebellstep {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kRequestTag = "quota-request";
constexpr std::string_view kGrantTag = "quota-grant";
constexpr std::size_t kRequestFields = 4;
constexpr std::size_t kGrantFields = 5;

Json encode_amounts(const std::vector<QuotaAmount>& amounts) {
  Json json = Json::array();
  for (const QuotaAmount& amount : amounts) {
    json.push_back(Json::array({amount.upstream_hash, amount.requests}));
  }
  return json;
}

std::vector<QuotaAmount> decode_amounts(const Json& json) {
  std::vector<QuotaAmount> amounts;
  for (const Json& item : json) {
    if (amounts.size() == QuotaLending::kMaxUpstreams) {
      break;
    }
    amounts.push_back(
        {.upstream_hash = item.at(0).get<std::uint64_t>(),
         .requests = std::min(item.at(1).get<std::uint32_t>(), QuotaLending::kMaxWanted)});
  }
  return amounts;
}

std::string to_datagram(const Json& json) {
  std::string out;
  Json::to_msgpack(json, out);
  return out;
}

// Decodes a datagram with this tag by `read`; returns nothing if it is another one.
template <typename Message, typename Read>
std::optional<Message> decode(std::span<const std::uint8_t> bytes,
                              std::string_view tag,
                              std::size_t fields,
                              Read read) {
  const auto json = parse_datagram(bytes);
  if (!json || json->size() < fields || json->at(0) != tag) {
    return std::nullopt;
  }
  try {
    return read(*json);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string encode_quota_request(const QuotaRequest& request) {
  return to_datagram(
      Json::array({kRequestTag, request.borrower, request.id, encode_amounts(request.wanted)}));
}

std::optional<QuotaRequest> decode_quota_request(std::span<const std::uint8_t> bytes) {
  return decode<QuotaRequest>(bytes, kRequestTag, kRequestFields, [](const Json& json) {
    return QuotaRequest{.borrower = json.at(1).get<std::uint64_t>(),
                        .id = json.at(2).get<std::uint64_t>(),
                        .wanted = decode_amounts(json.at(3))};
  });
}

std::string encode_quota_grant(const QuotaGrant& grant) {
  return to_datagram(Json::array(
      {kGrantTag, grant.lender, grant.borrower, grant.request_id, encode_amounts(grant.granted)}));
}

std::optional<QuotaGrant> decode_quota_grant(std::span<const std::uint8_t> bytes) {
  return decode<QuotaGrant>(bytes, kGrantTag, kGrantFields, [](const Json& json) {
    return QuotaGrant{.lender = json.at(1).get<std::uint64_t>(),
                      .borrower = json.at(2).get<std::uint64_t>(),
                      .request_id = json.at(3).get<std::uint64_t>(),
                      .granted = decode_amounts(json.at(4))};
  });
}

void QuotaLending::remove_expired(Upstream& upstream, Instant now) {
  std::erase_if(upstream.lent, [now](const Lent& lent) { return now >= lent.until; });
  std::erase_if(upstream.loans, [now](const Loan& loan) { return now >= loan.until; });
}

std::uint32_t QuotaLending::borrowed(const Upstream& upstream) {
  std::uint32_t sum = 0;
  for (const Loan& loan : upstream.loans) {
    sum += loan.requests;
  }
  return sum;
}

std::uint32_t QuotaLending::allowance(std::uint64_t upstream_hash,
                                      std::uint32_t own_part,
                                      Instant now) {
  const auto found = upstreams_.find(upstream_hash);
  if (found == upstreams_.end()) {
    return own_part;
  }
  remove_expired(found->second, now);
  std::uint32_t lent = 0;
  for (const Lent& entry : found->second.lent) {
    lent += entry.requests;
  }
  // The part may have shrunk since, if gateways were added.
  return own_part - std::min(own_part, lent) + borrowed(found->second);
}

void QuotaLending::record_denied(std::uint64_t upstream_hash, Instant now) {
  Upstream& upstream = upstreams_[upstream_hash];
  upstream.denied_at = now;
  upstream.needed_at = now;
}

void QuotaLending::record_borrowed_use(std::uint64_t upstream_hash, Instant now) {
  upstreams_[upstream_hash].needed_at = now;
}

std::optional<QuotaRequest> QuotaLending::make_request(std::size_t lenders, Instant now) {
  while (!sent_requests_.empty() && now >= sent_requests_.front().sent_at + kTerm) {
    sent_requests_.pop_front();
  }
  QuotaRequest request{.borrower = incarnation_, .id = last_id_ + 1};
  for (auto entry = upstreams_.begin(); entry != upstreams_.end();) {
    Upstream& upstream = entry->second;
    remove_expired(upstream, now);
    const bool needed = upstream.needed_at && now < *upstream.needed_at + kDemandTime;
    if (!needed && upstream.lent.empty() && upstream.loans.empty()) {
      entry = upstreams_.erase(entry);
      continue;
    }
    if (!needed) {
      upstream.wanted = 1;
    } else if (lenders > 0 && request.wanted.size() < kMaxUpstreams) {
      if (upstream.denied_at && now < *upstream.denied_at + kDemandTime) {
        upstream.wanted = std::min(kMaxWanted, std::max(upstream.wanted, borrowed(upstream)) * 2);
      }
      // Twice an even share of what is wanted, since some gateways have nothing to lend.
      const auto count = static_cast<std::uint32_t>(std::min(lenders, kMaxLenders));
      request.wanted.push_back({.upstream_hash = entry->first,
                                .requests = std::min(kMaxWanted, 1 + 2 * upstream.wanted / count)});
    }
    ++entry;
  }
  if (request.wanted.empty()) {
    return std::nullopt;
  }
  last_id_ = request.id;
  sent_requests_.push_back({.id = request.id, .sent_at = now});
  return request;
}

std::uint32_t QuotaLending::lend(std::uint64_t borrower,
                                 const QuotaAmount& wanted,
                                 std::uint32_t own_part,
                                 std::uint32_t own_use,
                                 Instant now) {
  Upstream& upstream = upstreams_[wanted.upstream_hash];
  remove_expired(upstream, now);
  if (upstream.denied_at && now < *upstream.denied_at + kDemandTime) {
    return 0;
  }
  const auto existing = std::find_if(upstream.lent.begin(), upstream.lent.end(),
                                     [&](const Lent& lent) { return lent.borrower == borrower; });
  const std::uint32_t held = existing == upstream.lent.end() ? 0 : existing->requests;
  std::uint32_t lent_to_others = 0;
  for (const Lent& lent : upstream.lent) {
    lent_to_others += lent.borrower == borrower ? 0 : lent.requests;
  }
  const std::uint32_t used = own_use + lent_to_others;
  const std::uint32_t available = own_part - std::min(own_part, used);
  // Half of what is left stays for requests of this gateway and for other borrowers.
  const std::uint32_t granted = std::min({wanted.requests, available, (available + held + 1) / 2});
  if (granted == 0) {
    return 0;
  }
  const Instant until = now + kHoldTime;
  // If this grant is lost, the borrower goes on using the one before.
  const std::uint32_t to_hold = std::max(held, granted);
  if (existing == upstream.lent.end()) {
    upstream.lent.push_back({.borrower = borrower, .requests = to_hold, .until = until});
  } else {
    *existing = {.borrower = borrower, .requests = to_hold, .until = until};
  }
  return granted;
}

void QuotaLending::apply(const QuotaGrant& grant, Instant now) {
  const auto sent =
      std::find_if(sent_requests_.begin(), sent_requests_.end(),
                   [&](const SentRequest& request) { return request.id == grant.request_id; });
  if (grant.borrower != incarnation_ || sent == sent_requests_.end() ||
      now >= sent->sent_at + kTerm) {
    return;
  }
  for (const QuotaAmount& amount : grant.granted) {
    Upstream& upstream = upstreams_[amount.upstream_hash];
    const Loan loan{.lender = grant.lender,
                    .request_id = grant.request_id,
                    .requests = amount.requests,
                    .until = sent->sent_at + kTerm};
    const auto existing =
        std::find_if(upstream.loans.begin(), upstream.loans.end(),
                     [&](const Loan& entry) { return entry.lender == grant.lender; });
    if (existing == upstream.loans.end()) {
      upstream.loans.push_back(loan);
    } else if (existing->request_id < loan.request_id) {
      *existing = loan;
    }
  }
}

}  // namespace bluebellstep
