// Views of the zones, and the comparison of request counts with the limit.

#include "cold_limit/cold_limit.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"

namespace bluebellstep {
namespace {

constexpr Duration kRateWindow{1000};
// A request may be sent up to the connect timeout after it was counted, so requests that are
// counted in different seconds may be sent within one.
constexpr Duration kColdWindow{1300};
static_assert(QuotaLending::kHoldTime >= QuotaLending::kTerm + kColdWindow);
static_assert(RequestQuota::kRestartDelay >= QuotaLending::kHoldTime);
// An upstream that may have become cold unnoticed counts as cold for this much longer than a cold
// upstream is: the belief may be older than the fact.
constexpr Duration kColdMargin{1000};
// Zones that were back in service are passed on for this long, or for the longest known cold time.
constexpr Duration kMinReturnedZoneTime{60'000};
// Share of the request limit of cold upstreams that is used for those not known to be cold. The
// rest covers requests that arrive late.
constexpr double kColdSafetyShare = 0.85;
// Multiple of the cold limit for upstreams not known to be cold: they may have become cold again.
constexpr double kWarmFactor = 2;
// Upper bound on the traffic share of this gateway, as a multiple of an even share.
constexpr double kMaxMultipleOfEvenShare = 4;

// Removes the times up to `limit`.
void remove_until(std::deque<Instant>& times, Instant limit) {
  while (!times.empty() && times.front() <= limit) {
    times.pop_front();
  }
}

}  // namespace

ColdLimit::ColdLimit(const RequestQuota& quota,
                     const LoadAggregator& load_aggregator,
                     ColdBound bound)
    : quota_(quota),
      load_aggregator_(load_aggregator),
      bound_(bound),
      lending_(quota.incarnation()) {}

void ColdLimit::record_view(const ZoneView& view, Instant valid_until, Instant now) {
  if (!view_) {
    view_ = view;
  } else if (view.since > view_->as_of + kMaxViewGap) {
    LogEvent("zone_view_gap", LogEvent::Severity::kWarning)
        .field("gap_ms", (view.since - view_->as_of).ms)
        .field("ended_ms_ago", (now - view.since).ms);
    view_ = ZoneView{.since = view.since, .as_of = view.as_of, .after_gap = true};
  } else {
    view_->as_of = std::max(view_->as_of, view.as_of);
  }
  view_missing_ = false;
  // Gateways that follow each other would otherwise renew a view without any news from the store.
  view_valid_until_ = std::max(view_valid_until_, std::min(valid_until, view.as_of + kMaxViewGap));
}

void ColdLimit::record_view_lost(Instant now) {
  view_missing_ = !view_;
  view_valid_until_ = std::min(view_valid_until_, now + kLostViewValidity);
}

std::optional<ZoneView> ColdLimit::valid_view(Instant now) const {
  return now >= view_valid_until_ ? std::nullopt : view_;
}

void ColdLimit::record_returned_zone(std::string_view zone, Instant at) {
  const auto [entry, added] = zones_returned_at_.try_emplace(std::string(zone), at);
  if (!added) {
    // Gateways see the same return at slightly different times and tell each other.
    if (at <= entry->second + kColdMargin) {
      return;
    }
    entry->second = at;
  }
  std::erase_if(zones_returned_at_,
                [&](const auto& item) { return item.second + returned_zone_time() <= at; });
  LogEvent("zone_returned").field("zone", zone);
}

std::vector<ReturnedZone> ColdLimit::returned_zones(Instant now) const {
  std::vector<ReturnedZone> zones;
  for (const auto& [zone, returned_at] : zones_returned_at_) {
    if (now < returned_at + returned_zone_time()) {
      zones.push_back({zone, now - returned_at});
    }
  }
  return zones;
}

Duration ColdLimit::returned_zone_time() const {
  return std::max(kMinReturnedZoneTime, longest_cold_time_ + kColdMargin);
}

bool ColdLimit::is_cold(const Upstream& upstream,
                        std::string_view zone,
                        const ServiceInfo& service,
                        Instant now) const {
  if (now < upstream.cold_until) {
    return true;
  }
  const Instant cold_since = now - service.cold_time - kColdMargin;
  const auto returned = zones_returned_at_.find(zone);
  return (upstream.restart_suspected_at && *upstream.restart_suspected_at > cold_since) ||
         (returned != zones_returned_at_.end() && returned->second > cold_since);
}

bool ColdLimit::may_be_cold(const ServiceInfo& service, Instant now) const {
  return view_missing_ ||
         (view_ && (now >= view_valid_until_ ||
                    (view_->after_gap && now < view_->since + service.cold_time + kColdMargin)));
}

std::uint32_t ColdLimit::own_part(Upstream& upstream, Instant now) const {
  if (!quota_.usable(now)) {
    return 0;
  }
  if (upstream.membership != quota_.membership_version() || upstream.part_of != upstream.bound) {
    upstream.part = quota_.part(upstream.id_hash, upstream.bound);
    upstream.part_of = upstream.bound;
    upstream.membership = quota_.membership_version();
  }
  return upstream.part;
}

// The load balancer distributes connections unevenly, so an even share would limit the busiest
// gateways long before the upstreams are busy.
double ColdLimit::traffic_share(Instant now) {
  const double own = recent_requests(now) + 1.0;
  const auto from_peers = static_cast<double>(load_aggregator_.recent_requests_from_peers());
  const double even = 1 / static_cast<double>(quota_.gateway_count());
  if (from_peers == 0) {
    return even;  // No reports were received, but the other gateways may still be sending.
  }
  return std::clamp(own / (own + from_peers), even, std::min(1.0, kMaxMultipleOfEvenShare * even));
}

std::uint32_t ColdLimit::recent_requests(Instant now) {
  remove_until(recent_request_times_, now - kRateWindow);
  return static_cast<std::uint32_t>(recent_request_times_.size());
}

// Upstreams that are not cold may become cold without notice, so their request rate is limited too,
// by the traffic of the gateways.
bool ColdLimit::allows(Upstream& upstream,
                       std::string_view zone,
                       const ServiceInfo& service,
                       double traffic_share,
                       Instant now) {
  std::deque<Instant>& times = upstream.request_times;
  remove_until(times, now - kColdWindow);
  if (service.cold_requests_per_s <= 0) {
    return true;
  }
  longest_cold_time_ = std::max(longest_cold_time_, service.cold_time);
  upstream.bound = service.cold_requests_per_s * bound_.overage + bound_.slack;
  if (is_cold(upstream, zone, service, now) || may_be_cold(service, now)) {
    const std::uint32_t part = own_part(upstream, now);
    if (times.size() < lending_.allowance(upstream.id_hash, part, now)) {
      if (times.size() >= part) {
        lending_.record_borrowed_use(upstream.id_hash, now);
      }
      return true;
    }
    if (quota_.usable(now)) {
      lending_.record_denied(upstream.id_hash, now);
    }
    return false;
  }
  const auto recent_requests =
      times.end() - std::upper_bound(times.begin(), times.end(), now - kRateWindow);
  return static_cast<double>(recent_requests) + 1 <=
         std::max(1.0, upstream.bound * kColdSafetyShare * kWarmFactor * traffic_share);
}

void ColdLimit::record_sent(Upstream& upstream, Instant now) {
  upstream.request_times.push_back(now);
  recent_request_times_.push_back(now);
}

void ColdLimit::keep_counts(Upstream upstream) {
  if (!upstream.request_times.empty()) {
    kept_counts_.push_back(std::move(upstream));
  }
}

ColdLimit::Upstream ColdLimit::take_counts(std::uint64_t id_hash, Instant now) {
  std::erase_if(kept_counts_, [now](const Upstream& kept) {
    return kept.request_times.back() <= now - kColdWindow;
  });
  const auto found = std::find_if(kept_counts_.begin(), kept_counts_.end(),
                                  [&](const Upstream& kept) { return kept.id_hash == id_hash; });
  Upstream upstream{.id_hash = id_hash};
  if (found != kept_counts_.end()) {
    upstream.request_times = std::move(found->request_times);
    kept_counts_.erase(found);
  }
  return upstream;
}

std::optional<QuotaRequest> ColdLimit::make_quota_request(Instant now) {
  return lending_.make_request(quota_.gateway_count() - 1, now);
}

QuotaGrant ColdLimit::answer_quota_request(const QuotaRequest& request,
                                           const std::function<Upstream*(std::uint64_t)>& find,
                                           Instant now) {
  QuotaGrant grant{
      .lender = lending_.incarnation(), .borrower = request.borrower, .request_id = request.id};
  for (const QuotaAmount& wanted : request.wanted) {
    Upstream* upstream = find(wanted.upstream_hash);
    if (upstream == nullptr || upstream->bound <= 0) {
      continue;
    }
    remove_until(upstream->request_times, now - kColdWindow);
    const std::uint32_t granted =
        lending_.lend(request.borrower, wanted, own_part(*upstream, now),
                      static_cast<std::uint32_t>(upstream->request_times.size()), now);
    if (granted > 0) {
      grant.granted.push_back({.upstream_hash = wanted.upstream_hash, .requests = granted});
    }
  }
  return grant;
}

}  // namespace bluebellstep
