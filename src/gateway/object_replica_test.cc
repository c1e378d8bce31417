// Tests of `ObjectReplica`.

#include "gateway/object_replica.h"

#include <catch2/catch.hpp>

namespace bluebellstep {
namespace {

platform::StoredObject object(std::string name, std::uint64_t revision) {
  return {.name = std::move(name), .revision = revision, .content = "{}"};
}

}  // namespace

TEST_CASE("a list shows which objects were changed and removed", "[gateway]") {
  ObjectReplica replica;
  CHECK(replica.replace({object("a", 1), object("b", 2)}, 5).size() == 2);
  const auto changes = replica.replace({object("b", 2), object("c", 6)}, 7);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].object.name == "c");
  CHECK(changes[1].object.name == "a");
  CHECK(changes[1].removed);
}

// Guards against a peer or a late answer that returns a gateway to an earlier state.
TEST_CASE("a snapshot older than the replica is ignored", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 8)}, 9);
  CHECK(replica.replace({object("a", 3)}, 4).empty());
  CHECK(replica.objects().at("a").revision == 8);
  CHECK(replica.revision() == 9);
}

TEST_CASE("changes that are known already are dropped", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 8)}, 9);
  platform::ObjectChanges changes{.changes = {{object("a", 8), false}, {object("a", 7), true}},
                                  .store_revision = 12};
  CHECK(replica.apply(changes).empty());
  CHECK(replica.revision() == 12);
  CHECK(replica.objects().contains("a"));
  changes.changes = {{object("a", 13), true}};
  CHECK(replica.apply(changes).size() == 1);
  CHECK(replica.objects().empty());
}

}  // namespace bluebellstep
