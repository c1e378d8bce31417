// The order in which a gateway asks its peers for the store's objects while the store does not
// answer it.
//
// Load pattern: the store rejects some gateways and serves the others, while gateways are stopped
// and started. A peer that is down or has lost the store as well knows nothing new. A new
// configuration takes effect within 2 s, so such peers must not use up the time.
//
// A peer that the store answers is asked again, at the usual interval. Without such a peer all are
// asked in turn, several in an interval. The number is limited for the case that the store answers
// no gateway at all.

#ifndef BLUEBELLSTEP_PEER_QUERIES_PEER_QUERIES_H_
#define BLUEBELLSTEP_PEER_QUERIES_PEER_QUERIES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "http/http_types.h"

namespace bluebellstep {

/** Selects the peer to ask and the time of the next query. One query is in flight at a time. */
class PeerQueries {
 public:
  /** Interval between queries to a peer that the store answers. */
  static constexpr Duration kInterval{500};
  /** Delay before the next peer is asked, after one that knows nothing new or does not answer. */
  static constexpr Duration kNextPeerDelay{50};
  /** Number of peers to ask in an interval. */
  static constexpr std::size_t kPeersPerInterval = 4;

  explicit PeerQueries(std::uint64_t seed) : random_(seed) {}

  /** Replaces the peers. */
  void set_peers(std::vector<Endpoint> peers);

  /** Returns the peer to ask now; nothing if there is no peer. */
  std::optional<Endpoint> next();

  /** Records the answer to the last query. Returns the delay before the next one.
   *
   * @param informed  The peer answered, and the store answers the peer.
   */
  Duration record_answer(const Endpoint& peer, bool informed);

 private:
  Random random_;
  std::vector<Endpoint> peers_;
  std::vector<Endpoint> turn_;          // Peers still to be asked in this turn, the last one first.
  std::optional<Endpoint> informed_;    // The store answered this peer when it was last asked.
  std::size_t uninformed_answers_ = 0;  // In this interval.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_PEER_QUERIES_PEER_QUERIES_H_
