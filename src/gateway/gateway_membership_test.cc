// Tests of which registered gateways count as gone.

#include "gateway/gateway_membership.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};

struct Fixture {
  GatewayMembership roster{"g1"};
  Instant now = kStart;

  Fixture() { roster.set_registered({"g1", "g2", "g3", "old"}, kStart); }

  // Hears `names` every 10 s for `span`.
  void hear(std::vector<std::string> names, Duration span) {
    for (const Instant end = now + span; now < end; now = now + 10_s) {
      for (const std::string& name : names) {
        roster.heard(name, now);
      }
    }
  }
};

}  // namespace

// Guards against shares of common bounds that shrink with each instance that was replaced.
TEST_CASE("a gateway that is not heard for long is gone", "[gateway]") {
  Fixture f;
  f.hear({"g2", "g3"}, GatewayMembership::kGoneAfter - 10_s);
  CHECK(f.roster.gone(f.now).empty());
  f.hear({"g2", "g3"}, 10_s);
  CHECK(f.roster.gone(f.now) == std::vector<std::string>{"old"});
  f.roster.heard("old", f.now);
  CHECK(f.roster.gone(f.now).empty());
}

// Guards against a gateway that is cut off and removes all others.
TEST_CASE("a gateway that hears few others removes none", "[gateway]") {
  Fixture f;
  f.hear({"g2"}, GatewayMembership::kGoneAfter + 10_s);
  CHECK(f.roster.gone(f.now).empty());
}

TEST_CASE("only the first living gateway removes others", "[gateway]") {
  GatewayMembership second("g2");
  second.set_registered({"g1", "g2", "g3", "old"}, kStart);
  const Instant later = kStart + GatewayMembership::kGoneAfter;
  second.heard("g1", later);
  second.heard("g3", later);
  CHECK(second.gone(later).empty());
}

TEST_CASE("a gateway whose registration was removed notices it", "[gateway]") {
  GatewayMembership roster("g1");
  roster.set_registered({"g2"}, kStart);
  CHECK_FALSE(roster.own_registration_lost());  // It has not been written yet.
  roster.set_registered({"g1", "g2"}, kStart);
  CHECK_FALSE(roster.own_registration_lost());
  roster.set_registered({"g2"}, kStart);
  CHECK(roster.own_registration_lost());
}

}  // namespace bluebellstep
