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
  ZoneRegistry registry{operators.keys()};
  Bundle bundle = BundleParser("b").parse(test_bundle_text(1)).value();
};

}  // namespace

TEST_CASE_METHOD(Fixture, "the highest serial decides the state of a zone", "[zones]") {
  CHECK_FALSE(registry.in_service("a"));
  registry.apply_bundle(bundle, {0});
  CHECK(registry.in_service("a"));
  CHECK(registry.apply_notice(notice(false, 5), {10}) == ZoneNoticeResult::kApplied);
  CHECK(registry.apply_notice(notice(false, 5), {11}) == ZoneNoticeResult::kKnown);
  CHECK(registry.apply_notice(notice(true, 4), {12}) == ZoneNoticeResult::kOlder);
  CHECK_FALSE(registry.in_service("a"));
  // Guards against a delayed bundle that returns a zone to service.
  registry.apply_bundle(bundle, {20});
  CHECK_FALSE(registry.in_service("a"));
  CHECK(registry.notices().size() == 1);
  bundle.zones[0] = {"a", "south", false, 5};
  registry.apply_bundle(bundle, {30});
  CHECK(registry.notices().empty());
}

// Guards against processes that permanently disagree after two operators used the same serial.
TEST_CASE_METHOD(Fixture,
                 "at equal serials out of service takes precedence in either order",
                 "[zones]") {
  ZoneRegistry other(operators.keys());
  registry.apply_notice(notice(true, 5), {0});
  registry.apply_notice(notice(false, 5), {1});
  other.apply_notice(notice(false, 5), {0});
  other.apply_notice(notice(true, 5), {1});
  CHECK_FALSE(registry.in_service("a"));
  CHECK_FALSE(other.in_service("a"));
}

TEST_CASE_METHOD(Fixture, "notices without a valid signature change nothing", "[zones]") {
  registry.apply_bundle(bundle, {0});
  ZoneNotice changed = notice(true, 5);
  changed.in_service = false;
  CHECK(registry.apply_notice(changed, {1}) == ZoneNoticeResult::kInvalid);
  ZoneNotice other_zone = notice(false, 5);
  other_zone.zone = "b";
  CHECK(registry.apply_notice(other_zone, {1}) == ZoneNoticeResult::kInvalid);
  ZoneNotice unknown_signer = notice(false, 5);
  unknown_signer.signer = "cem";
  CHECK(registry.apply_notice(unknown_signer, {1}) == ZoneNoticeResult::kInvalid);
  CHECK(registry.in_service("a"));
  CHECK(registry.in_service("b"));
}

// Guards against overloading upstreams that have just started when their zone returns to service.
TEST_CASE_METHOD(Fixture,
                 "the load of a zone rises over ten seconds after its return to service",
                 "[zones]") {
  registry.apply_bundle(bundle, {0});
  CHECK(registry.load_factor("a", {0}) == 1);
  registry.apply_notice(notice(false, 5), {1000});
  CHECK(registry.load_factor("a", {1000}) == 0);
  registry.apply_notice(notice(true, 6), {2000});
  CHECK(registry.load_factor("a", {2000}) == ZoneRegistry::kInitialLoadFactor);
  CHECK(registry.load_factor("a", {7000}) == 0.5);
  CHECK(registry.load_factor("a", {12'000}) == 1);
  // Another notice with the same state does not restart the ramp.
  registry.apply_notice(notice(true, 7), {13'000});
  CHECK(registry.load_factor("a", {13'000}) == 1);
}

TEST_CASE_METHOD(Fixture, "a process answers zone notices with its own state", "[zones]") {
  registry.apply_bundle(bundle, {0});
  const ZoneNotice out = notice(false, 5);
  CHECK(zone_notice_from_json(zone_notice_to_json(out)) == out);
  const ZoneNoticeAnswer applied = answer_zone_notice(registry, zone_notice_to_json(out), {1});
  CHECK(applied.status == 200);
  CHECK(applied.applied);
  CHECK_FALSE(answer_zone_notice(registry, zone_notice_to_json(out), {2}).applied);
  const auto older = answer_zone_notice(registry, zone_notice_to_json(notice(true, 4)), {3});
  CHECK(older.status == 409);
  CHECK(older.body == R"({"result":"older","serial":5,"state":"out","zone":"a"})");
  ZoneNotice forged = notice(true, 9);
  forged.serial = 10;
  CHECK(answer_zone_notice(registry, zone_notice_to_json(forged), {4}).status == 403);
  for (const char* body : {"", "{}", "[1]", "{\"zone\":1}", "\xff", "{\"serial\":-1}"}) {
    CHECK(answer_zone_notice(registry, body, {5}).status == 400);
  }
}

}  // namespace bluebellstep
