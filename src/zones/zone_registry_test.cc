// Tests of zone notices and their merge with the bundle.

#include <catch2/catch.hpp>

#include "bundle/bundle_parser.h"
#include "tests/support/test_bundle.h"
#include "zones/zone_registry.h"

namespace bluebellstep {
namespace {

struct Fixture {
  ZoneNotice notice(bool in_service, std::uint64_t serial) const {
    ZoneNotice made{"a", in_service, serial, "ana", ""};
    REQUIRE(sign_zone_notice(made, operators.ana.private_key));
    return made;
  }

  TestOperators operators;
  ZoneRegistry board{operators.keys()};
  Bundle bundle = BundleParser("b").parse(test_bundle_text(1)).value();
};

}  // namespace

TEST_CASE_METHOD(Fixture, "the highest serial decides on a zone", "[zones]") {
  CHECK_FALSE(board.in_service("a"));
  board.apply_bundle(bundle, {0});
  CHECK(board.in_service("a"));
  CHECK(board.apply_notice(notice(false, 5), {10}) == ZoneNoticeResult::kApplied);
  CHECK(board.apply_notice(notice(false, 5), {11}) == ZoneNoticeResult::kKnown);
  CHECK(board.apply_notice(notice(true, 4), {12}) == ZoneNoticeResult::kOlder);
  CHECK_FALSE(board.in_service("a"));
  // Guards against a late bundle that puts a zone back into service.
  board.apply_bundle(bundle, {20});
  CHECK_FALSE(board.in_service("a"));
  CHECK(board.notices().size() == 1);
  bundle.zones[0] = {"a", "south", false, 5};
  board.apply_bundle(bundle, {30});
  CHECK(board.notices().empty());
}

// Guards against processes that disagree for good after two operators used the same serial.
TEST_CASE_METHOD(Fixture, "at equal serials out wins in either order", "[zones]") {
  ZoneRegistry other(operators.keys());
  board.apply_notice(notice(true, 5), {0});
  board.apply_notice(notice(false, 5), {1});
  other.apply_notice(notice(false, 5), {0});
  other.apply_notice(notice(true, 5), {1});
  CHECK_FALSE(board.in_service("a"));
  CHECK_FALSE(other.in_service("a"));
}

TEST_CASE_METHOD(Fixture, "notices without the right signature change nothing", "[zones]") {
  board.apply_bundle(bundle, {0});
  ZoneNotice changed = notice(true, 5);
  changed.in_service = false;
  CHECK(board.apply_notice(changed, {1}) == ZoneNoticeResult::kInvalid);
  ZoneNotice other_zone = notice(false, 5);
  other_zone.zone = "b";
  CHECK(board.apply_notice(other_zone, {1}) == ZoneNoticeResult::kInvalid);
  ZoneNotice stranger = notice(false, 5);
  stranger.signer = "cem";
  CHECK(board.apply_notice(stranger, {1}) == ZoneNoticeResult::kInvalid);
  CHECK(board.in_service("a"));
  CHECK(board.in_service("b"));
}

// Guards against fresh upstreams failing under the full load of a zone that comes back.
TEST_CASE_METHOD(Fixture, "load rises over ten seconds after a return", "[zones]") {
  board.apply_bundle(bundle, {0});
  CHECK(board.load_factor("a", {0}) == 1);
  board.apply_notice(notice(false, 5), {1000});
  CHECK(board.load_factor("a", {1000}) == 0);
  board.apply_notice(notice(true, 6), {2000});
  CHECK(board.load_factor("a", {2000}) == ZoneRegistry::kRampInitialFactor);
  CHECK(board.load_factor("a", {7000}) == 0.5);
  CHECK(board.load_factor("a", {12'000}) == 1);
  // A further notice that changes nothing does not start the ramp again.
  board.apply_notice(notice(true, 7), {13'000});
  CHECK(board.load_factor("a", {13'000}) == 1);
}

TEST_CASE_METHOD(Fixture, "a process answers zone notices with its own state", "[zones]") {
  board.apply_bundle(bundle, {0});
  const ZoneNotice out = notice(false, 5);
  CHECK(zone_notice_from_json(zone_notice_to_json(out)) == out);
  const ZoneNoticeAnswer applied = answer_zone_notice(board, zone_notice_to_json(out), {1});
  CHECK(applied.status == 200);
  CHECK(applied.applied);
  CHECK_FALSE(answer_zone_notice(board, zone_notice_to_json(out), {2}).applied);
  const auto older = answer_zone_notice(board, zone_notice_to_json(notice(true, 4)), {3});
  CHECK(older.status == 409);
  CHECK(older.body == R"({"result":"older","serial":5,"state":"out","zone":"a"})");
  ZoneNotice forged = notice(true, 9);
  forged.serial = 10;
  CHECK(answer_zone_notice(board, zone_notice_to_json(forged), {4}).status == 403);
  for (const char* body : {"", "{}", "[1]", "{\"zone\":1}", "\xff", "{\"serial\":-1}"}) {
    CHECK(answer_zone_notice(board, body, {5}).status == 400);
  }
}

}  // namespace bluebellstep
