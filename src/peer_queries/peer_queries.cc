// Asks the peers in random order, each once in a turn.

#include "peer_queries/peer_queries.h"

#include <algorithm>
#include <utility>

namespace bluebellstep {

void PeerQueries::set_peers(std::vector<Endpoint> peers) {
  peers_ = std::move(peers);
  const auto is_gone = [this](const Endpoint& peer) {
    return std::find(peers_.begin(), peers_.end(), peer) == peers_.end();
  };
  std::erase_if(turn_, is_gone);
  if (informed_ && is_gone(*informed_)) {
    informed_.reset();
  }
}

std::optional<Endpoint> PeerQueries::next() {
  if (informed_ || peers_.empty()) {
    return informed_;
  }
  if (turn_.empty()) {
    turn_ = peers_;
    for (std::size_t i = turn_.size(); i > 1; --i) {
      std::swap(turn_[i - 1], turn_[random_.below(i)]);
    }
  }
  const Endpoint peer = turn_.back();
  turn_.pop_back();
  return peer;
}

Duration PeerQueries::record_answer(const Endpoint& peer, bool informed) {
  if (informed) {
    informed_ = peer;
    uninformed_answers_ = 0;
    return kInterval;
  }
  if (informed_ == peer) {
    informed_.reset();
  }
  ++uninformed_answers_;
  return uninformed_answers_ % kPeersPerInterval == 0 ? kInterval : kNextPeerDelay;
}

}  // namespace bluebellstep
