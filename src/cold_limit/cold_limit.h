// Limit on the requests to upstreams that are cold or may be cold, summed over all gateways.
//
// Load pattern: an upstream that has just started, or whose zone is back in service, bears few
// requests a second, and hundreds of gateways send to it. Gateways learn of it at different times,
// and while the platform's store is out they do not learn of it at all: an operator takes a zone
// out of service by an object of the store, and an outage may hide both its beginning and its end.
// Therefore a gateway sends more than its certain share only to upstreams that it knows to be warm,
// by a view of the zones without gaps.

#ifndef BLUEBELLSTEP_COLD_LIMIT_COLD_LIMIT_H_
#define BLUEBELLSTEP_COLD_LIMIT_COLD_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "cold_limit/quota_lending.h"
#include "gateway/load_aggregator.h"
#include "gateway/request_quota.h"
#include "gateway/serving_config.h"

namespace bluebellstep {

/** What all gateways together may send to a cold upstream within a second: `overage` times the rate
 * that it can sustain, plus `slack`. */
struct ColdBound {
  double overage = 1.5;
  double slack = 5;
};

/** The time for which a gateway knows, without a gap, which zones are out of service. */
struct ZoneView {
  Instant since;  // The end of a gap, or the start of the gateway whose view it is.
  Instant as_of;
  bool after_gap = false;  // `since` is the end of a gap.
};

/** Decides whether a request may be sent to an upstream under the limit for cold upstreams.
 *
 * The sum over all gateways holds because each gateway either knows that an upstream is warm, or
 * uses at most its part by `RequestQuota` and what others lent it (`QuotaLending`).
 *
 * All times are read from one monotonic clock.
 */
class ColdLimit {
 public:
  /** A view of the store's own answers counts for this long. Longer than the time between two
   * answers of a store that works. */
  static constexpr Duration kViewValidity{1400};
  /** A view that the followed gateway passed on counts for this long after it was received. The
   * next one arrives before, and that gateway tells at once if it loses the store. */
  static constexpr Duration kPassedViewValidity{1200};
  /** A view counts for this long after its source was lost: a watch that was cut off is renewed
   * within this time, and a warm upstream gets less than the bound of a cold one in it. */
  static constexpr Duration kLostViewValidity{800};
  /** If there is no view for longer than this, a zone may have gone and returned unnoticed. */
  static constexpr Duration kMaxViewGap{2400};

  /** What the limit depends on at one upstream. */
  struct Upstream {
    std::uint64_t id_hash = 0;
    Instant cold_until;  // By its registration.
    // When the upstream may last have been restarted: connections to it failed or were lost, here
    // or at other gateways, and its registration has not been renewed since.
    std::optional<Instant> restart_suspected_at;
    std::deque<Instant> request_times;  // Times of requests within the window of the limit.
    double bound = 0;  // For all gateways together; 0 until a request was considered.
    // This gateway's part of `part_of` by `RequestQuota`, as long as `membership` is its version.
    std::uint32_t part = 0;
    double part_of = 0;
    std::uint64_t membership = 0;
  };

  ColdLimit(const RequestQuota& quota, const LoadAggregator& load_aggregator, ColdBound bound);

  void set_bound(const ColdBound& bound) { bound_ = bound; }

  /** The zones out of service are known for `view`.
   *
   * @param valid_until  When the view is out of date unless it is renewed. In any case it is out of
   *                     date `kMaxViewGap` after `view.as_of`.
   */
  void record_view(const ZoneView& view, Instant valid_until, Instant now);
  /** The source of the view is lost. Until the next `record_view`, zones may go out of service and
   * return unnoticed. */
  void record_view_lost(Instant now);
  /** The view to pass on to other gateways; nothing if it is out of date. */
  std::optional<ZoneView> valid_view(Instant now) const;

  /** A zone was back in service at `at`, as this or another gateway has seen. Its upstreams are
   * cold. */
  void record_returned_zone(std::string_view zone, Instant at);
  /** Returns the zones that were back in service lately, for gateways that have started since. */
  std::vector<ReturnedZone> returned_zones(Instant now) const;

  /** Whether the limit allows another request to the upstream at present. */
  bool allows(Upstream& upstream,
              std::string_view zone,
              const ServiceInfo& service,
              double traffic_share,
              Instant now);
  /** Counts a request that is sent to the upstream. */
  void record_sent(Upstream& upstream, Instant now);
  /** Keeps the counts of an upstream that is no longer known: it may register again while the
   * requests count. */
  void keep_counts(Upstream upstream);
  /** Returns the counts that were kept for the upstream, if they still matter. */
  Upstream take_counts(std::uint64_t id_hash, Instant now);

  /** Returns the estimated share of the requests of all gateways that this gateway sends. */
  double traffic_share(Instant now);
  /** Number of requests of this gateway to all upstreams within the last second. */
  std::uint32_t recent_requests(Instant now);

  /** Messages about loans; see `QuotaLending`. */
  std::optional<QuotaRequest> make_quota_request(Instant now);
  /** Returns the grant, which may be empty. `find` returns the upstream with a hash, or null. */
  QuotaGrant answer_quota_request(const QuotaRequest& request,
                                  const std::function<Upstream*(std::uint64_t)>& find,
                                  Instant now);
  void apply_quota_grant(const QuotaGrant& grant, Instant now) { lending_.apply(grant, now); }

 private:
  bool is_cold(const Upstream& upstream,
               std::string_view zone,
               const ServiceInfo& service,
               Instant now) const;
  // For how long a zone that is back in service may have cold upstreams.
  Duration returned_zone_time() const;
  // Whether this gateway may not know that the upstreams of the service are cold.
  bool may_be_cold(const ServiceInfo& service, Instant now) const;
  // This gateway's part of the requests that all gateways may send within the window; 0 while it
  // does not know them.
  std::uint32_t own_part(Upstream& upstream, Instant now) const;

  const RequestQuota& quota_;
  const LoadAggregator& load_aggregator_;
  ColdBound bound_;
  QuotaLending lending_;
  std::optional<ZoneView> view_;
  Instant view_valid_until_;
  bool view_missing_ = false;  // `record_view_lost` was called, and there was no view before.
  std::map<std::string, Instant, std::less<>> zones_returned_at_;
  Duration longest_cold_time_;                // Of the services that requests were considered for.
  std::vector<Upstream> kept_counts_;         // All have requests; see `keep_counts`.
  std::deque<Instant> recent_request_times_;  // To all upstreams, within the last second.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COLD_LIMIT_COLD_LIMIT_H_
