// Tests of `ObjectReplica`.

#include "gateway/object_replica.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <random>

namespace bluebellstep {
namespace {

platform::StoredObject object(std::string name, std::uint64_t revision) {
  return {.name = std::move(name), .revision = revision, .content = "{}"};
}

/** The history of a store with a few objects. */
class StoreHistory {
 public:
  explicit StoreHistory(std::mt19937& random) : random_(random) {}

  /** Creates, changes or removes an object. */
  void change() {
    const std::string name(1, static_cast<char>('a' + random_() % 4));
    const bool removed = !states_.back().empty() && random_() % 2 == 0;
    auto state = states_.back();
    const std::uint64_t revision = states_.size();
    if (removed && state.erase(name) == 0) {
      return;
    }
    if (!removed) {
      state[name] = revision;
    }
    changes_.push_back({object(name, revision), removed});
    states_.push_back(std::move(state));
  }

  std::uint64_t revision() const { return states_.size() - 1; }

  /** The revision of each object that existed at a revision of the store. */
  const std::map<std::string, std::uint64_t>& at(std::uint64_t revision) const {
    return states_[revision];
  }

  /** The answer to a watch. `to` is at most the store's revision. */
  platform::ObjectChanges changes(std::uint64_t from, std::uint64_t to) const {
    return {.changes = {changes_.begin() + static_cast<std::ptrdiff_t>(from),
                        changes_.begin() + static_cast<std::ptrdiff_t>(to)},
            .store_revision = to};
  }

  std::vector<platform::StoredObject> list(std::uint64_t revision) const {
    std::vector<platform::StoredObject> objects;
    for (const auto& [name, changed_at] : at(revision)) {
      objects.push_back(object(name, changed_at));
    }
    return objects;
  }

 private:
  std::mt19937& random_;
  std::vector<platform::ObjectChange> changes_;                      // [i] has revision i + 1.
  std::vector<std::map<std::string, std::uint64_t>> states_ = {{}};  // By revision.
};

std::map<std::string, std::uint64_t> revisions_of(const ObjectReplica& replica) {
  std::map<std::string, std::uint64_t> revisions;
  for (const auto& [name, object] : replica.objects()) {
    revisions[name] = object.revision;
  }
  return revisions;
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

// Guards against a server that is gone and comes back into use: a peer tells of the removal while
// the answer to an earlier watch, with an older change of the server, is held up on its link.
TEST_CASE("a late answer does not bring a removed object back", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 3), object("b", 4)}, 5);
  SECTION("the removal came as a peer's complete list") {
    CHECK(replica.replace({object("b", 4)}, 7).size() == 1);
  }
  SECTION("the removal came as a change") {
    CHECK(replica.apply({.changes = {{object("a", 7), true}}, .store_revision = 7}).size() == 1);
  }
  CHECK(replica.apply({.changes = {{object("a", 6), false}}, .store_revision = 6}).empty());
  CHECK_FALSE(replica.objects().contains("a"));
  CHECK(replica.revision() == 7);
  CHECK(replica.apply({.changes = {{object("a", 8), false}}, .store_revision = 8}).size() == 1);
}

// Guards against the loss of an object that a later page of a list told of, by a list that was read
// before the object was created.
TEST_CASE("an older list does not remove an object that was created later", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 3), object("z", 9)}, 5);
  CHECK(replica.replace({object("a", 3)}, 6).empty());
  CHECK(replica.objects().contains("z"));
}

// Guards against any order of watches, lists and peers' messages in which a replica tells something
// else than the store did at the replica's revision.
TEST_CASE("a replica equals the store at its revision whatever the order of answers", "[gateway]") {
  std::mt19937 random(7);
  for (int run = 0; run < 2000; ++run) {
    CAPTURE(run);
    StoreHistory store(random);
    ObjectReplica replica;
    std::vector<platform::ObjectChanges> held;  // Answers that have not arrived yet.
    for (int step = 0; step < 40; ++step) {
      const std::uint64_t known = replica.revision();
      switch (random() % 5) {
        case 0:
        case 1:
          store.change();
          break;
        case 2:
          held.push_back(store.changes(known, known + random() % (store.revision() - known + 1)));
          break;
        case 3:
          if (!held.empty()) {
            const auto arriving =
                held.begin() + static_cast<std::ptrdiff_t>(random() % held.size());
            replica.apply(*arriving);
            held.erase(arriving);
          }
          break;
        case 4: {
          const std::uint64_t revision = random() % (store.revision() + 1);
          replica.replace(store.list(revision), revision);
          break;
        }
      }
      REQUIRE(revisions_of(replica) == store.at(replica.revision()));
    }
  }
}

}  // namespace bluebellstep
