// Writes records and statistics as JSON.

#include "loadgen/record.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace bluebellstep::loadgen {
namespace {

using Json = nlohmann::ordered_json;

Json account_summary(const std::string& name,
                     bool direct,
                     std::size_t account,
                     std::span<const RequestRecord> records) {
  std::uint64_t requests = 0, refused = 0, broken = 0, unfinished = 0, events = 0;
  std::uint64_t recomputed = 0, blocks = 0;
  std::vector<std::int64_t> first_tokens;
  std::map<std::string, std::uint64_t> refusals;
  for (const RequestRecord& record : records) {
    if (record.arrival.account != account || record.direct != direct) {
      continue;
    }
    ++requests;
    events += record.events;
    unfinished += record.done_us < 0 ? 1 : 0;
    broken += record.fault.empty() ? 0 : 1;
    if (!record.reason.empty()) {
      ++refused;
      ++refusals[record.reason + " " + record.run_state];
    }
    if (record.first_token_us >= 0) {
      first_tokens.push_back(record.first_token_us);
    }
    recomputed += record.recomputed_blocks;
    blocks += record.reused_blocks + record.fetched_blocks + record.recomputed_blocks;
  }
  const double share =
      blocks == 0 ? 0 : static_cast<double>(recomputed) / static_cast<double>(blocks);
  return {{"account", name},
          {"via", direct ? "direct" : "entry"},
          {"requests", requests},
          {"refused", refused},
          {"refusals", refusals},
          {"first_token_p50_us", percentile(first_tokens, 0.50)},
          {"first_token_p95_us", percentile(first_tokens, 0.95)},
          {"first_token_p99_us", percentile(first_tokens, 0.99)},
          {"recomputed_share", share},
          {"broken", broken},
          {"unfinished", unfinished},
          {"events", events}};
}

}  // namespace

std::int64_t percentile(std::vector<std::int64_t> values, double rank) {
  if (values.empty()) {
    return -1;
  }
  const auto position =
      static_cast<std::size_t>(std::max(1.0, std::ceil(rank * static_cast<double>(values.size()))));
  std::sort(values.begin(), values.end());
  return values[std::min(position, values.size()) - 1];
}

std::string record_line(const Experiment& experiment, const RequestRecord& record) {
  const Json line = {{"at_us", record.arrival.at_us},
                     {"account", experiment.accounts[record.arrival.account].name},
                     {"via", record.direct ? "direct" : "entry"},
                     {"kind", record.arrival.order ? "order" : "prompt"},
                     {"prompt", record.arrival.prompt},
                     {"sent_us", record.sent_us},
                     {"first_token_us", record.first_token_us},
                     {"done_us", record.done_us},
                     {"status", record.status},
                     {"reason", record.reason},
                     {"run_state", record.run_state},
                     {"fault", record.fault},
                     {"events", record.events},
                     {"reused_blocks", record.reused_blocks},
                     {"fetched_blocks", record.fetched_blocks},
                     {"recomputed_blocks", record.recomputed_blocks}};
  return line.dump();
}

std::string summary_line(const Experiment& experiment, std::span<const RequestRecord> records) {
  Json accounts = Json::array();
  for (const bool direct : {false, true}) {
    for (std::size_t i = 0; i < experiment.accounts.size(); ++i) {
      const bool has_requests =
          std::any_of(records.begin(), records.end(), [&](const RequestRecord& candidate) {
            return candidate.direct == direct && candidate.arrival.account == i;
          });
      if (has_requests) {
        accounts.push_back(account_summary(experiment.accounts[i].name, direct, i, records));
      }
    }
  }
  return Json{{"summary", accounts}}.dump();
}

}  // namespace bluebellstep::loadgen
