// Tests of the choice of peers, with simulated peers and no sockets.

#include "peer_queries/peer_queries.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace bluebellstep {
namespace {

// Limit on a query to a peer that does not answer.
constexpr Duration kTimeout{400};
// Time after which a new configuration must be in force.
constexpr Duration kConfigurationLimit{2000};

std::vector<Endpoint> make_peers(std::size_t count) {
  std::vector<Endpoint> peers;
  for (std::size_t i = 0; i < count; ++i) {
    peers.push_back({"10.0.0." + std::to_string(i + 1), 80});
  }
  return peers;
}

// Returns how long it takes until the only peer that the store answers is asked for the first
// time. Of the others, `down` do not answer, and the rest have lost the store.
Duration time_to_learn(std::uint64_t seed, std::size_t peer_count, std::size_t down) {
  const std::vector<Endpoint> peers = make_peers(peer_count);
  PeerQueries queries(seed);
  queries.set_peers(peers);
  Duration elapsed{0};
  for (;;) {
    const Endpoint peer = *queries.next();
    const auto index =
        static_cast<std::size_t>(std::find(peers.begin(), peers.end(), peer) - peers.begin());
    if (index == peer_count - 1) {
      return elapsed;
    }
    const bool is_down = index < down;
    elapsed = elapsed + (is_down ? kTimeout : Duration{0}) + queries.record_answer(peer, false);
  }
}

}  // namespace

// Guards against a gateway that serves by an older configuration or on older weights for seconds:
// the store does not answer it, and it asks peers that know nothing newer.
TEST_CASE("the only peer that the store answers is asked in time", "[peer_queries]") {
  const auto [peer_count, down] =
      GENERATE(std::pair<std::size_t, std::size_t>{4, 0}, std::pair<std::size_t, std::size_t>{4, 2},
               std::pair<std::size_t, std::size_t>{4, 3});
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    CAPTURE(peer_count, down, seed);
    REQUIRE(time_to_learn(seed, peer_count, down) < kConfigurationLimit);
  }
}

// Guards against changes that arrive late because another peer is asked after each answer.
TEST_CASE("a peer that the store answers is asked again until it loses the store",
          "[peer_queries]") {
  PeerQueries queries(1);
  queries.set_peers(make_peers(3));
  const Endpoint peer = *queries.next();
  CHECK(queries.record_answer(peer, true) == PeerQueries::kInterval);
  CHECK(queries.next() == peer);
  CHECK(queries.record_answer(peer, false) < PeerQueries::kInterval);
  CHECK(queries.next() != peer);
  SECTION("a removed peer is not asked") {
    const Endpoint other = *queries.next();
    queries.record_answer(other, true);
    queries.set_peers({peer});
    CHECK(queries.next() == peer);
    queries.set_peers({});
    CHECK_FALSE(queries.next().has_value());
  }
}

// Guards against a load of queries that grows with the number of gateways while the store answers
// none of them.
TEST_CASE("few peers are asked in an interval while the store answers none", "[peer_queries]") {
  PeerQueries queries(1);
  queries.set_peers(make_peers(360));
  std::size_t queries_sent = 0;
  Duration elapsed{0};
  while (elapsed < PeerQueries::kInterval * 10) {
    const Endpoint peer = *queries.next();
    ++queries_sent;
    elapsed = elapsed + queries.record_answer(peer, false);
  }
  CHECK(queries_sent <= 10 * PeerQueries::kPeersPerInterval);
}

}  // namespace bluebellstep
