// Ranks the gateways of each upstream and divides limits among them.

#include "gateway/request_quota.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace bluebellstep {

RequestQuota::RequestQuota(std::string_view own_name, Instant started_at)
    : own_name_(own_name),
      own_hash_(hash64(own_name)),
      incarnation_(combine_hashes(own_hash_, static_cast<std::uint64_t>(started_at.ms))),
      usable_from_(started_at + kRestartDelay) {}

void RequestQuota::set_registered(const std::set<std::string, std::less<>>& names) {
  registered_ = names;
  unregistered_.clear();
  update_members();
}

void RequestQuota::on_report(std::string_view name) {
  if (name == own_name_ || registered_.contains(name) || unregistered_.contains(name)) {
    return;
  }
  unregistered_.emplace(name);
  update_members();
}

void RequestQuota::update_members() {
  member_hashes_.clear();
  for (const auto* names : {&registered_, &unregistered_}) {
    for (const std::string& name : *names) {
      if (name != own_name_) {
        member_hashes_.push_back(hash64(name));
      }
    }
  }
  ++membership_version_;
}

std::uint32_t RequestQuota::part(std::uint64_t upstream_hash, double limit) const {
  if (registered_.empty()) {
    return 0;
  }
  const auto total = static_cast<std::uint64_t>(std::floor(std::max(1.0, limit * kUsedShare)));
  const std::uint64_t gateways = member_hashes_.size() + 1;
  const std::uint64_t own_score = rendezvous_score(upstream_hash, own_hash_);
  const auto rank = static_cast<std::uint64_t>(std::count_if(
      member_hashes_.begin(), member_hashes_.end(),
      [&](std::uint64_t member) { return rendezvous_score(upstream_hash, member) > own_score; }));
  return static_cast<std::uint32_t>(total / gateways + (rank < total % gateways ? 1 : 0));
}

}  // namespace bluebellstep
