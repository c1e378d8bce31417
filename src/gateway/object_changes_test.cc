// Tests of the messages between a gateway and its followers, and of the polls that it holds.

#include "gateway/object_changes.h"

#include <catch2/catch.hpp>

#include "gateway/follower_polls.h"
#include "gateway/object_replica.h"

namespace bluebellstep {
namespace {

platform::StoredObject object(std::string name, std::uint64_t revision) {
  return {.name = std::move(name), .revision = {revision}, .content = R"({"a":1})"};
}

}  // namespace

TEST_CASE("queries and answers between gateways are read as they were written", "[gateway]") {
  const ChangesQuery query = decode_changes_query(
      encode_changes_query({.known = {{7}, {}, {12, 3}}, .wait = Duration{1000}}));
  CHECK(query.known == KnownRevisions{{7}, {}, {12, 3}});
  CHECK(query.wait == Duration{1000});

  const PassedView view{.since_ago = Duration{900}, .as_of_ago = Duration{60}, .after_gap = true};
  ChangesAnswer answer{.current = true, .age = Duration{40}, .era = 2, .view = view};
  answer.returned_zones.push_back({"a", Duration{700}});
  answer.beliefs.push_back({.kind = platform::ObjectKind::kUpstreams,
                            .beliefs = {{.name = "b",
                                         .reason = RetentionReason::kLeaving,
                                         .contradicted_by = {.number = 4, .era = 2},
                                         .content = R"({"a":1})",
                                         .left = Duration{900}}}});
  answer.kinds.push_back(
      {.kind = platform::ObjectKind::kUpstreams,
       .revision = {9, 2},
       .changes = {{object("a", 8), false}, {{.name = "b", .revision = {9, 2}}, true}},
       .gaps = {{.from = {3, 2}, .to = {5, 2}}}});
  answer.kinds.push_back({.kind = platform::ObjectKind::kTargetWeights,
                          .revision = {5},
                          .changes = {{object("m", 5), false}}});
  const auto decoded = decode_changes_answer(encode_changes_answer(answer));
  REQUIRE(decoded);
  CHECK(decoded->current);
  CHECK(decoded->age == Duration{40});
  CHECK(decoded->view == view);
  REQUIRE(decoded->returned_zones.size() == 1);
  CHECK(decoded->returned_zones[0].zone == "a");
  CHECK(decoded->returned_zones[0].ago == Duration{700});
  REQUIRE(decoded->kinds.size() == 2);
  const auto& changes = decoded->kinds[0].changes;
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].object.content == R"({"a":1})");
  CHECK(changes[1].removed);
  CHECK(changes[1].object.revision == StoreRevision{9, 2});
  CHECK(decoded->kinds[0].revision == StoreRevision{9, 2});
  CHECK(decoded->kinds[0].gaps == answer.kinds[0].gaps);
  CHECK(decoded->era == 2);
  CHECK(decoded->beliefs == answer.beliefs);
  CHECK(decoded->kinds[1].changes.size() == 1);
}

// Guards against a gateway that ends, or takes nonsense for objects, because of a faulty peer.
TEST_CASE("what is not an answer of a gateway is rejected", "[gateway]") {
  CHECK_FALSE(decode_changes_answer(""));
  CHECK_FALSE(decode_changes_answer("[]"));
  CHECK_FALSE(decode_changes_answer(R"({"kinds":[]})"));
  CHECK_FALSE(decode_changes_answer(R"({"current":true,"age_ms":0,"kinds":[{"kind":1}]})"));
  CHECK_FALSE(decode_changes_answer(R"({"current":true,"age_ms":0,"kinds":7})"));
  CHECK(decode_changes_query("/v1/changes").known.empty());
  CHECK(decode_changes_query("/v1/changes?known=x,,&wait_ms=-1").wait == Duration{0});
}

// Guards against an upstream that was removed and stays in use at a follower.
TEST_CASE("changes since a revision include removals", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 3), object("b", 4)}, {5});
  CHECK_FALSE(replica.changes_since({4}));  // Earlier removals are not known.
  REQUIRE(replica.changes_since({5}));
  CHECK(replica.changes_since({5})->empty());
  replica.apply(
      {.changes = {{object("a", 6), true}, {object("c", 7), false}}, .store_revision = {7}});
  const auto changes = replica.changes_since({5});
  REQUIRE(changes);
  REQUIRE(changes->size() == 2);
  CHECK((*changes)[0].object.name == "c");
  CHECK((*changes)[1].object.name == "a");
  CHECK((*changes)[1].removed);
  replica.replace({object("c", 7)}, {9});
  CHECK(replica.changes_since({7})->size() == 1);  // "b" is missing in the new list.
  ObjectReplica follower;
  follower.replace({object("a", 3), object("b", 4)}, {5});
  follower.apply({.changes = *replica.changes_since({5}), .store_revision = {9}});
  CHECK(follower.objects().size() == 1);
  CHECK(follower.revision() == StoreRevision{9});
}

TEST_CASE("a poll is held until there are changes or its wait is over", "[gateway]") {
  std::uint64_t revision = 5;
  int answered = 0;
  FollowerPolls polls(
      [&](const KnownRevisions& known) { return known.at(0) < StoreRevision{revision}; });
  const auto respond = [&](const KnownRevisions&) { ++answered; };
  CHECK(polls.add({.known = {{4}}, .wait = Duration{1000}}, respond) == 0);
  CHECK(answered == 1);
  const auto held = polls.add({.known = {{5}}, .wait = Duration{1000}}, respond);
  CHECK(held != 0);
  polls.on_changes();
  CHECK(answered == 1);
  polls.expire(held);
  CHECK(answered == 2);
  polls.add({.known = {{5}}, .wait = Duration{1000}}, respond);
  revision = 6;
  polls.on_changes();
  CHECK(answered == 3);
  polls.add({.known = {{6}}, .wait = Duration{1000}}, respond);
  polls.answer_all();
  CHECK(answered == 4);
  CHECK(polls.size() == 0);
}

}  // namespace bluebellstep
