// Which bundle a process works by, how sure it is that this is the newest, and whom to ask for a
// newer one.

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

/** What became of a document that was offered to a `BundleTracker`. */
enum class BundleOfferResult : std::uint8_t {
  kAdopted,   // It is now the process's bundle; send heartbeats at once so that others learn of it.
  kNotNewer,  // Its generation is not above the present one.
  kInvalid,   // A signature or its contents are wrong; see `BundleTracker::last_error`.
};

/**
 * Holds the newest valid bundle that the process has seen. The generation never falls: documents
 * may arrive late and from any source. A process serves nothing before it has a bundle.
 */
class BundleTracker {
 public:
  /** A peer is asked for its bundle only if it was heard from within this time. */
  static constexpr Duration kPeerFresh = {2000};

  /** A fetch without an end counts as failed after this time. */
  static constexpr Duration kFetchLimit = {1500};

  /** A peer whose fetch failed, or that sent an invalid document, is not asked again before. */
  static constexpr Duration kFetchBackoff = {1000};

  /** Added to the age of a peer's confirmation for the time that it travelled. Without it the age
   * could stay constant while processes pass one confirmation to and fro. */
  static constexpr Duration kConfirmationHop = {50};

  /** `own_name` spreads the processes over the peers that have a new bundle. */
  BundleTracker(BundleSigner signer, std::string_view own_name);

  /** Whether there is a bundle to serve by. */
  bool ready() const { return current_ != nullptr; }

  /** Generation of the bundle; 0 if there is none. */
  std::uint64_t generation() const { return current_ ? current_->bundle.generation : 0; }

  /** The bundle, or null. The object never changes, so that it may be kept by others. */
  std::shared_ptr<const SignedBundle> current() const { return current_; }

  /** The signed document of the bundle, as it was received; empty if there is none. */
  const std::string& document() const { return document_; }

  /** Why the last invalid document was refused; empty if none was. */
  const std::string& last_error() const { return last_error_; }

  /**
   * Tells what the platform holds as `bundle/current`. `as_of` is a time at which it was certainly
   * not replaced yet: the start of the read or watch.
   */
  BundleOfferResult on_platform_document(ObjectVersion version,
                                         std::string_view document,
                                         Instant as_of);

  /** Tells that a watch after `platform_version` ended without news. `as_of` is the start of the
   * watch plus the wait. */
  void on_watch_unchanged(Instant as_of);

  /** Version of `bundle/current` that the platform showed last, to watch for later ones. */
  ObjectVersion platform_version() const { return platform_version_; }

  /** Tells the state in a peer's heartbeat. `confirmed_age` is nothing if the peer never had a
   * confirmation. `now` may be the time at which the heartbeat was asked for, if that is known: the
   * age is then never too low, else it is by the time that the heartbeat travelled. */
  void on_peer_heartbeat(std::string_view peer,
                         std::uint64_t generation,
                         std::optional<Duration> confirmed_age,
                         Instant now);

  /** Time since the bundle was last known to be the newest; nothing if it never was. */
  std::optional<Duration> confirmed_age(Instant now) const;

  /** Returns the peer to fetch a newer bundle from now, if there is one and no fetch is running.
   * Call `on_fetch_started` when the fetch begins. */
  std::optional<std::string> peer_to_fetch_from(Instant now) const;

  void on_fetch_started(std::string_view peer, Instant now);

  /** Ends a fetch with the document that the peer sent. */
  BundleOfferResult on_fetch_finished(std::string_view peer,
                                      std::string_view document,
                                      Instant now);

  /** Ends a fetch without a document. */
  void on_fetch_failed(std::string_view peer, Instant now);

 private:
  struct Peer {
    std::uint64_t generation = 0;
    Instant heard;
    std::optional<Instant> not_before;  // Backoff after a failure.
  };

  struct Fetch {
    std::string peer;
    Instant started;
  };

  BundleOfferResult offer(std::string_view document);
  void confirm(Instant at);

  BundleSigner signer_;
  std::uint64_t own_hash_;
  std::shared_ptr<const SignedBundle> current_;
  std::string document_;  // Empty exactly if current_ is null.
  std::string last_error_;
  std::optional<Instant> confirmed_;  // Of the present generation.
  ObjectVersion platform_version_;
  std::uint64_t platform_generation_ = 0;  // At platform_version_; 0 if invalid or none.
  std::uint64_t offered_generation_ = 0;   // Of the last offer; 0 if it was invalid.
  std::map<std::string, Peer, std::less<>> peers_;
  std::optional<Fetch> fetch_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROLLOUT_BUNDLE_TRACKER_H_
