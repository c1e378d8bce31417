// Adoption and confirmation of bundles, and selection of peers to fetch from.

#include "rollout/bundle_tracker.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <tuple>

#include "base/hash.h"

namespace bluebellstep {

BundleTracker::BundleTracker(BundleSigner signer, std::string_view own_name)
    : signer_(std::move(signer)), own_hash_(hash64(own_name)) {}

BundleOfferResult BundleTracker::on_platform_document(StoreRevision version,
                                                      std::string_view document,
                                                      Instant as_of) {
  const BundleOfferResult result = offer(document);
  if (version >= platform_version_) {
    platform_version_ = version;
    platform_generation_ = offered_generation_;
  }
  if (offered_generation_ == generation()) {
    confirm(as_of);
  }
  return result;
}

void BundleTracker::on_watch_unchanged(Instant as_of) {
  // The current bundle may have been fetched from a peer after the watch started.
  if (platform_generation_ == generation()) {
    confirm(as_of);
  }
}

void BundleTracker::confirm(Instant at) {
  if (ready()) {
    confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
  }
}

void BundleTracker::on_peer_heartbeat(std::string_view name,
                                      std::uint64_t generation,
                                      std::optional<Duration> confirmed_age,
                                      Instant now) {
  auto found = peers_.find(name);
  if (found == peers_.end()) {
    found = peers_.emplace(std::string(name), Peer{}).first;
  }
  found->second.generation = generation;
  found->second.last_heartbeat_at = now;
  if (generation == this->generation() && confirmed_age && confirmed_age->ms >= 0) {
    confirm(now - *confirmed_age - kConfirmationHopDelay);
  }
  std::erase_if(peers_, [now](const auto& entry) {
    return now - entry.second.last_heartbeat_at > kMaxHeartbeatAge + kFetchBackoff;
  });
}

std::optional<Duration> BundleTracker::confirmed_age(Instant now) const {
  return confirmed_at_ ? std::optional(now - *confirmed_at_) : std::nullopt;
}

std::optional<std::string> BundleTracker::peer_to_fetch_from(Instant now) const {
  if (fetch_ && now - fetch_->started_at < kFetchTimeout) {
    return std::nullopt;
  }
  const std::string* best = nullptr;
  std::tuple<std::uint64_t, std::uint64_t> best_rank;
  for (const auto& [name, peer] : peers_) {
    const bool usable =
        peer.generation > generation() && now - peer.last_heartbeat_at <= kMaxHeartbeatAge &&
        (!peer.not_before || now >= *peer.not_before) && !(fetch_ && fetch_->peer == name);
    const std::tuple rank(peer.generation, rendezvous_score(own_hash_, hash64(name)));
    if (usable && (best == nullptr || rank > best_rank)) {
      best = &name;
      best_rank = rank;
    }
  }
  return best ? std::optional(*best) : std::nullopt;
}

void BundleTracker::on_fetch_started(std::string_view peer, Instant now) {
  // A fetch that is still in progress has exceeded its timeout.
  if (fetch_) {
    const std::string overdue_peer = fetch_->peer;
    on_fetch_failed(overdue_peer, now);
  }
  fetch_ = Fetch{std::string(peer), now};
}

BundleOfferResult BundleTracker::on_fetch_finished(std::string_view peer,
                                                   std::string_view document,
                                                   Instant now) {
  const BundleOfferResult result = offer(document);
  const auto found = peers_.find(peer);
  // Back off from a peer that announces a higher generation than it sends; otherwise it would be
  // fetched from in a tight loop.
  const bool sent_older_than_announced =
      found != peers_.end() && found->second.generation > generation();
  if (result == BundleOfferResult::kInvalid || sent_older_than_announced) {
    on_fetch_failed(peer, now);
  } else if (fetch_ && fetch_->peer == peer) {
    fetch_.reset();
  }
  return result;
}

void BundleTracker::on_fetch_failed(std::string_view peer, Instant now) {
  if (const auto found = peers_.find(peer); found != peers_.end()) {
    found->second.not_before = now + kFetchBackoff;
  }
  if (fetch_ && fetch_->peer == peer) {
    fetch_.reset();
  }
}

BundleOfferResult BundleTracker::offer(std::string_view document) {
  if (ready() && document == document_) {
    offered_generation_ = generation();
    return BundleOfferResult::kNotNewer;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<BundleOfferResult> {
        offered_generation_ = 0;
        BOOST_LEAF_AUTO(opened, signer_.open("bundle", document));
        offered_generation_ = opened.bundle.generation;
        if (opened.bundle.generation <= generation()) {
          return BundleOfferResult::kNotNewer;
        }
        current_ = std::make_shared<const SignedBundle>(std::move(opened));
        document_ = document;
        confirmed_at_.reset();
        return BundleOfferResult::kAdopted;
      },
      [&](const SettingsErrors& errors) {
        last_error_ = errors.to_string();
        return BundleOfferResult::kInvalid;
      },
      [&] {
        last_error_ = "unknown error";
        return BundleOfferResult::kInvalid;
      });
}

}  // namespace bluebellstep
