// The bundle that a process uses: its adoption, the time at which it was last confirmed to be the
// newest, and the choice of a peer to fetch a newer one from.

#ifndef BLUEBELLSTEP_ROLLOUT_BUNDLE_TRACKER_H_
#define BLUEBELLSTEP_ROLLOUT_BUNDLE_TRACKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "bundle/bundle_signer.h"
#include "platform/platform_client.h"

namespace bluebellstep {

/** Result of offering a document to a `BundleTracker`. */
enum class BundleOfferResult : std::uint8_t {
  kAdopted,   // Now the current bundle; send heartbeats at once to announce it to peers.
  kNotNewer,  // Its generation is not higher than the current one.
  kInvalid,   // A signature or the contents are invalid; see `BundleTracker::last_error`.
};

/**
 * Holds the newest valid bundle that the process has received. The generation never decreases,
 * although documents may arrive late and from any sender. A process serves no requests before it
 * has a bundle.
 */
class BundleTracker {
 public:
  /** A bundle is fetched only from a peer whose last heartbeat is not older than this. */
  static constexpr Duration kMaxHeartbeatAge = {2000};

  /** A fetch that has not finished after this time counts as failed. */
  static constexpr Duration kFetchTimeout = {1500};

  /** Minimum time until the next fetch from a peer after a failed fetch or an unusable document. */
  static constexpr Duration kFetchBackoff = {1000};

  /** Added to the age of a peer's confirmation to account for its transmission. Without it the age
   * could remain constant while processes pass the same confirmation back and forth. */
  static constexpr Duration kConfirmationHopDelay = {50};

  /** `own_name` is hashed to distribute the fetches of different processes over the peers that have
   * a new bundle. */
  BundleTracker(BundleSigner signer, std::string_view own_name);

  /** Whether the process has a bundle. */
  bool ready() const { return current_ != nullptr; }

  /** Generation of the current bundle; 0 if there is none. */
  std::uint64_t generation() const { return current_ ? current_->bundle.generation : 0; }

  /** The current bundle, or null. The object is immutable and may be shared. */
  std::shared_ptr<const SignedBundle> current() const { return current_; }

  /** The signed document of the current bundle, as received; empty if there is none. */
  const std::string& document() const { return document_; }

  /** Error of the last document that was refused as invalid; empty if none was. */
  const std::string& last_error() const { return last_error_; }

  /**
   * Handles the `bundle/current` object that a read or watch returned. `as_of` is a time at which
   * the object had certainly not been replaced yet: the start of the read or watch.
   */
  BundleOfferResult on_platform_document(StoreRevision version,
                                         std::string_view document,
                                         Instant as_of);

  /** Handles the end of a watch for versions after `platform_version` that returned no change.
   * `as_of` is the start of the watch plus its wait time. */
  void on_watch_unchanged(Instant as_of);

  /** Latest version of `bundle/current` that the platform returned; watch for later ones. */
  StoreRevision platform_version() const { return platform_version_; }

  /** Handles a heartbeat of a peer. `confirmed_age` is nullopt if the peer never had a
   * confirmation. If `now` is the time at which the heartbeat was requested, the resulting age is
   * never too low. If it is the time of receipt, the age can be too low by the transmission time of
   * the heartbeat. */
  void on_peer_heartbeat(std::string_view peer,
                         std::uint64_t generation,
                         std::optional<Duration> confirmed_age,
                         Instant now);

  /** Time since the current bundle was last confirmed to be the newest; nullopt if it never was. */
  std::optional<Duration> confirmed_age(Instant now) const;

  /** Returns the peer to fetch a newer bundle from; nullopt if there is none or a fetch is in
   * progress. Call `on_fetch_started` when the fetch starts. */
  std::optional<std::string> peer_to_fetch_from(Instant now) const;

  void on_fetch_started(std::string_view peer, Instant now);

  /** Handles the document that `peer` sent. */
  BundleOfferResult on_fetch_finished(std::string_view peer,
                                      std::string_view document,
                                      Instant now);

  /** Handles a fetch from `peer` that failed. */
  void on_fetch_failed(std::string_view peer, Instant now);

 private:
  struct Peer {
    std::uint64_t generation = 0;
    Instant last_heartbeat_at;
    std::optional<Instant> not_before;  // Backoff after a failure.
  };

  struct Fetch {
    std::string peer;
    Instant started_at;
  };

  BundleOfferResult offer(std::string_view document);
  void confirm(Instant at);

  BundleSigner signer_;
  std::uint64_t own_hash_;
  std::shared_ptr<const SignedBundle> current_;
  std::string document_;  // Empty if and only if current_ is null.
  std::string last_error_;
  std::optional<Instant> confirmed_at_;  // Of the current generation.
  StoreRevision platform_version_;
  std::uint64_t platform_generation_ = 0;  // At platform_version_; 0 if it is invalid or unknown.
  std::uint64_t offered_generation_ = 0;   // Of the last offered document; 0 if it is invalid.
  std::map<std::string, Peer, std::less<>> peers_;
  std::optional<Fetch> fetch_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROLLOUT_BUNDLE_TRACKER_H_
