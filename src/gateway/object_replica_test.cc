// Tests of the copy of the store's objects.

#include "gateway/object_replica.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

platform::StoredObject object(std::string name, std::uint64_t revision) {
  return {.name = std::move(name), .revision = revision, .content = "{}"};
}

}  // namespace

TEST_CASE("a list shows what changed and what is gone", "[gateway]") {
  ObjectReplica mirror;
  CHECK(mirror.replace({object("a", 1), object("b", 2)}, 5).size() == 2);
  const auto changes = mirror.replace({object("b", 2), object("c", 6)}, 7);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].object.name == "c");
  CHECK(changes[1].object.name == "a");
  CHECK(changes[1].removed);
}

// Guards against a peer or a late answer that takes a gateway back to an earlier state.
TEST_CASE("an older snapshot changes nothing", "[gateway]") {
  ObjectReplica mirror;
  mirror.replace({object("a", 8)}, 9);
  CHECK(mirror.replace({object("a", 3)}, 4).empty());
  CHECK(mirror.objects().at("a").revision == 8);
  CHECK(mirror.revision() == 9);
}

TEST_CASE("events that are known already are dropped", "[gateway]") {
  ObjectReplica mirror;
  mirror.replace({object("a", 8)}, 9);
  platform::ObjectChanges changes{.changes = {{object("a", 8), false}, {object("a", 7), true}},
                                  .store_revision = 12};
  CHECK(mirror.apply(changes).empty());
  CHECK(mirror.revision() == 12);
  CHECK(mirror.objects().contains("a"));
  changes.changes = {{object("a", 13), true}};
  CHECK(mirror.apply(changes).size() == 1);
  CHECK(mirror.objects().empty());
}

}  // namespace bluebellstep
