// Supervision of one RPC connection: heartbeats, detection of silence, reconnection, and the list
// of streams to resume.

#ifndef BLUEBELLSTEP_STREAMS_LINK_WATCHDOG_H_
#define BLUEBELLSTEP_STREAMS_LINK_WATCHDOG_H_

#include <cstdint>
#include <set>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "streams/stream_event.h"

namespace bluebellstep {

/** Times of a link. */
struct LinkTimes {
  Duration heartbeat{500};
  Duration silence{1500};  // Three heartbeats, so that one lost or late one closes nothing.
  Duration first_retry{50};
  Duration longest_retry{5000};
};

/** Open a connection; report `opened` or `failed`. */
struct OpenLink {};

/** Close the connection, which is silent or whose opening took too long. */
struct CloseLink {};

/** Send a heartbeat. */
struct SendHeartbeat {};

/** Nothing to do before this time. */
struct WaitUntil {
  Instant at;
};

using LinkStep = std::variant<OpenLink, CloseLink, SendHeartbeat, WaitUntil>;

/**
 * Says what to do with a connection next. Call `step` until it says to wait, after every report and
 * at the time that it names. After a pause of the process, `step` finds the silence and closes the
 * connection before anything is sent over it.
 */
class LinkWatchdog {
 public:
  LinkWatchdog(const LinkTimes& times, std::uint64_t seed, Instant now);

  LinkStep step(Instant now);

  /** Reports that the connection is open. Open streams must be resumed over it, see
   * `open_streams`. */
  void opened(Instant now);

  /** Reports anything received over the open connection. */
  void received(Instant now);

  /** Reports that opening failed or that the connection broke. */
  void failed(Instant now);

  void add_stream(StreamRef ref) { streams_.insert(ref); }
  void remove_stream(StreamRef ref) { streams_.erase(ref); }

  /** Streams to resume after `opened`. */
  std::vector<StreamRef> open_streams() const { return {streams_.begin(), streams_.end()}; }

  bool is_open() const { return std::holds_alternative<Open>(state_); }

 private:
  struct Waiting {
    Instant retry_at;
  };
  struct Opening {
    Instant since;
  };
  struct Open {
    Instant last_received;
    Instant next_heartbeat;
  };

  Duration next_retry_delay();

  LinkTimes times_;
  Random random_;
  std::variant<Waiting, Opening, Open> state_;
  // Failures since something was last received. An open connection alone does not reset it, since
  // a peer that accepts and never answers would be tried without a pause.
  int failures_ = 0;
  std::set<StreamRef> streams_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STREAMS_LINK_WATCHDOG_H_
