// Decides which processes watch the bundle object in the platform, and when the others read it.
//
// Every call counts towards the request limit of the platform, so not every process may watch.
// Three entry instances watch, and the other processes learn of changes by heartbeats. The election
// needs no consensus: each entry instance ranks those that it exchanges heartbeats with, and
// different views only result in a few more or fewer watches. A process that has received no
// confirmation within `kConfirmationLimit` reads the object itself.

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

/** Decides when one process reads or watches `bundle/current`. At most one call is in flight. */
class WatcherElection {
 public:
  enum class Call : std::uint8_t { kNone, kRead, kWatch };

  /** Number of entry instances that watch. */
  static constexpr std::size_t kWatcherCount = 3;

  /** An entry instance takes part in the election if its last heartbeat is not older than this. */
  static constexpr Duration kMaxHeartbeatAge = {2000};

  /** A process that does not watch reads the object if its last confirmation is older than this. */
  static constexpr Duration kConfirmationLimit = {5000};

  /** Maximum random delay of a read, so that processes do not read at the same time. Together with
   * `kConfirmationLimit`, a first read that fails after `kCallTimeout` and a retry, a process
   * learns of a change within 8 s. */
  static constexpr Duration kMaxReadJitter = {500};

  /** Minimum time from a failed call to the next one; a random delay of up to the same length is
   * added. */
  static constexpr Duration kMinRetryDelay = {250};

  /** Minimum time from an answered call to the next one; a random delay of up to the same length is
   * added. */
  static constexpr Duration kMinCallInterval = {100};

  /** Minimum time from an answered read to the next one; a random delay of up to the same length is
   * added. Limits the load while the object is missing or invalid and reads give no confirmation:
   * 1,210 processes then make about 320 reads/s, and the platform accepts 2,000 reads/s. */
  static constexpr Duration kMinReadInterval = {2500};

  /** Time for which a watch waits for a change. A watch that returns no change is a confirmation
   * for all processes. */
  static constexpr Duration kWatchWait = {2000};

  /** Timeout of a read. The timeout of a watch is this plus `kWatchWait`. */
  static constexpr Duration kCallTimeout = {1000};

  /** `is_entry` is whether the process is an entry instance; only these watch. `seed` initialises
   * the random delays. */
  WatcherElection(std::string_view own_name, bool is_entry, std::uint64_t seed);

  /** Handles a heartbeat of an entry instance. `lists_us` is whether the heartbeat lists this
   * process among those that the entry instance receives heartbeats from. */
  void on_entry_heartbeat(std::string_view name, bool lists_us, Instant now);

  /** Whether this process is one of the watchers. */
  bool is_watcher(Instant now) const;

  /** Returns the call to make now and counts it as in flight. The caller makes the call and reports
   * its end by `on_call_finished`. `confirmed_age` is `BundleTracker::confirmed_age`. */
  Call next_call(Instant now, std::optional<Duration> confirmed_age);

  /** Handles the end of the call in flight. `answered` is whether the platform answered, with or
   * without an object. */
  void on_call_finished(bool answered, Instant now);

 private:
  std::uint64_t own_score_;
  bool is_entry_;
  Random random_;
  // Times of the last heartbeats that listed this process, by name of the entry instance.
  std::map<std::string, Instant, std::less<>> entries_;
  Call in_flight_ = Call::kNone;
  std::optional<Instant> call_not_before_;  // Set when a call ends.
  std::optional<Instant> read_not_before_;  // Set when a read is answered.
  Duration jitter_;                         // Random delay of the next read.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_ROLLOUT_WATCHER_ELECTION_H_
