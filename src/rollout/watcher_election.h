// Which processes watch the bundle in the platform, and when a process reads it by itself.
//
// The platform counts every call, so the whole fleet must not watch. Three entry instances watch
// and the others learn from them by heartbeats. The choice needs no agreement: each entry ranks
// those it exchanges heartbeats with, and a difference of views only means a few watches more or
// fewer. A process that has heard no confirmation for a while reads the object itself.

#ifndef BLUEBELLSTEP_ROLLOUT_WATCHER_ELECTION_H_
#define BLUEBELLSTEP_ROLLOUT_WATCHER_ELECTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/random.h"

namespace bluebellstep {

/** Decides on the calls that one process makes for `bundle/current`. At most one runs at a time. */
class WatcherElection {
 public:
  enum class Call : std::uint8_t { kNone, kRead, kWatch };

  static constexpr std::size_t kWatchers = 3;

  /** An entry counts for the election if it was heard from within this time. */
  static constexpr Duration kPeerFresh = {2000};

  /** A process reads by itself when its last confirmation is older than this. */
  static constexpr Duration kConfirmationLimit = {5000};

  /** Reads are delayed by up to this, so that processes do not read all at once. With the limit
   * above, a first read that fails after `kCallTimeout` and a retry, a change is known in 8 s. */
  static constexpr Duration kReadJitter = {500};

  /** Time from a failed call to the next one: this plus up to as much again. */
  static constexpr Duration kRetryDelay = {250};

  /** Time from an answered watch to the next one: this plus up to as much again. */
  static constexpr Duration kWatchPause = {100};

  /** Time from an answered read to the next one: this plus up to as much again. It matters while
   * the object is missing or invalid, when reads give no confirmation: 1,210 processes then make
   * about 320 reads/s of the 2,000 that the platform takes. */
  static constexpr Duration kReadPause = {2500};

  /** How long a watch waits for news. Its end without news is a confirmation for all processes. */
  static constexpr Duration kWatchWait = {2000};

  /** Time limit of a read; of a watch in addition to `kWatchWait`. */
  static constexpr Duration kCallTimeout = {1000};

  /** `is_entry`: only entry instances watch. `seed` is for the jitter. */
  WatcherElection(std::string_view own_name, bool is_entry, std::uint64_t seed);

  /** Tells that an entry instance was heard from. `hears_us`: whether its heartbeat lists this
   * process among those that it heard from. */
  void on_entry_heartbeat(std::string_view name, bool hears_us, Instant now);

  /** Whether this process is among the watchers. */
  bool is_watcher(Instant now) const;

  /** Returns the call to make now and counts it as running; the caller makes it and then reports
   * `on_call_finished`. `confirmed_age` is that of the `BundleTracker`. */
  Call next_call(Instant now, std::optional<Duration> confirmed_age);

  /** Ends the running call; `answered` tells whether the platform answered at all. */
  void on_call_finished(bool answered, Instant now);

 private:
  std::uint64_t own_score_;
  bool is_entry_;
  Random random_;
  std::map<std::string, Instant, std::less<>> entries_;  // Last heartbeat that listed us.
  Call running_ = Call::kNone;
  std::optional<Instant> call_not_before_;  // Set by each end of a call.
  std::optional<Instant> read_not_before_;  // Set by each answered read.
  Duration jitter_;                         // Of the next read.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROLLOUT_WATCHER_ELECTION_H_
