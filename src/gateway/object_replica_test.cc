// Tests of `ObjectReplica`.

#include "gateway/object_replica.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bluebellstep {
namespace {

platform::StoredObject object(std::string name, std::uint64_t number, std::uint64_t era = 0) {
  return {.name = std::move(name),
          .revision = {.number = number, .era = era},
          .content = std::to_string(number)};
}

/** The histories of a store with a few objects: one for each era. */
class StoreHistory {
 public:
  using State = std::map<std::string, std::string>;  // Contents by name.

  explicit StoreHistory(std::mt19937& random) : random_(random) {}

  /** Creates, changes or removes an object. */
  void change() {
    const std::string name(1, static_cast<char>('a' + random_() % 4));
    History& history = eras_.back();
    const bool removed = random_() % 2 == 0;
    auto objects = history.states.back();
    if (removed && objects.erase(name) == 0) {
      return;
    }
    const platform::StoredObject changed{.name = name,
                                         .revision = {revision().number + 1, revision().era},
                                         .content = std::to_string(++written_)};
    if (!removed) {
      objects[name] = changed;
    }
    history.changes.push_back({changed, removed});
    history.states.push_back(std::move(objects));
  }

  /** Restores the store from a copy of a recent revision. */
  void restore() {
    History history = eras_.back();
    const std::size_t lost = std::min<std::size_t>(random_() % 5, history.changes.size());
    history.changes.resize(history.changes.size() - lost);
    history.states.resize(history.states.size() - lost);
    const std::uint64_t era = eras_.size();
    for (auto& objects : history.states) {
      for (auto& [name, stored] : objects) {
        stored.revision.era = era;
      }
    }
    for (platform::ObjectChange& change : history.changes) {
      change.object.revision.era = era;
    }
    eras_.push_back(std::move(history));
  }

  StoreRevision revision() const {
    return {.number = eras_.back().changes.size(), .era = eras_.size() - 1};
  }

  /** The objects as they were at a revision. */
  State at(const StoreRevision& revision) const {
    State state;
    for (const auto& [name, stored] : eras_[revision.era].states[revision.number]) {
      state[name] = stored.content;
    }
    return state;
  }

  /** The answer to a watch. Both revisions are of the present era. */
  platform::ObjectChanges changes(const StoreRevision& from, const StoreRevision& to) const {
    const auto& changes = eras_[from.era].changes;
    return {.changes = {changes.begin() + static_cast<std::ptrdiff_t>(from.number),
                        changes.begin() + static_cast<std::ptrdiff_t>(to.number)},
            .store_revision = to};
  }

  std::vector<platform::StoredObject> list(const StoreRevision& revision) const {
    std::vector<platform::StoredObject> objects;
    for (const auto& [name, stored] : eras_[revision.era].states[revision.number]) {
      objects.push_back(stored);
    }
    return objects;
  }

 private:
  struct History {
    std::vector<platform::ObjectChange> changes;  // [i] has number i + 1.
    std::vector<std::map<std::string, platform::StoredObject>> states = {{}};  // By number.
  };

  std::mt19937& random_;
  int written_ = 0;
  std::vector<History> eras_ = {{}};
};

StoreHistory::State state_of(const ObjectReplica& replica) {
  StoreHistory::State state;
  for (const auto& [name, object] : replica.objects()) {
    state[name] = object.content;
  }
  return state;
}

/** An answer of the store or of another replica that has not arrived yet. */
struct Message {
  std::size_t receiver = 0;
  std::optional<platform::ObjectChanges> changes;
  std::vector<RevisionGap> gaps;
  std::vector<platform::StoredObject> list;  // If there are no changes.
  StoreRevision list_revision;
};

/** Replicas of one store that hear of it late, in any order, and from each other. */
class ReplicaNetwork {
 public:
  enum class Step { kRestore, kWatch, kList, kSnapshot, kPassOn, kDeliver, kChange };

  /** @param restores  Whether the store may be restored. Without, the replicas stay in one era, in
   *                   which more of them hear of each other. */
  ReplicaNetwork(std::mt19937& random, bool restores) : random_(random), store_(random) {
    // The number of entries is the share of a step. Passing on takes two gateways and a delivery,
    // so that faults which take two of them need many.
    const std::pair<Step, std::size_t> shares[] = {{Step::kRestore, restores ? 1 : 0},
                                                   {Step::kWatch, 4},
                                                   {Step::kList, 4},
                                                   {Step::kSnapshot, 1},
                                                   {Step::kPassOn, 10},
                                                   {Step::kDeliver, 12},
                                                   {Step::kChange, 8}};
    for (const auto& [step, share] : shares) {
      steps_.insert(steps_.end(), share, step);
    }
  }

  void step() {
    const std::size_t receiver = up_to(replicas_.size() - 1);
    const std::size_t sender = up_to(replicas_.size() - 1);
    switch (steps_[up_to(steps_.size() - 1)]) {
      case Step::kRestore:
        return store_.restore();
      case Step::kWatch:
        return watch(receiver);
      case Step::kList:
        return list(receiver);
      case Step::kSnapshot:
        messages_.push_back({.receiver = receiver,
                             .list = store_.list(replicas_[sender].revision()),
                             .list_revision = replicas_[sender].revision()});
        return;
      case Step::kPassOn:
        return pass_on(sender, receiver);
      case Step::kDeliver:
        return deliver();
      case Step::kChange:
        return store_.change();
    }
  }

  void check() const {
    for (const ObjectReplica& replica : replicas_) {
      REQUIRE(state_of(replica) == store_.at(replica.revision()));
    }
  }

 private:
  std::uint64_t up_to(std::uint64_t last) { return random_() % (last + 1); }

  void watch(std::size_t receiver) {
    const StoreRevision from = replicas_[receiver].revision();
    const StoreRevision newest = store_.revision();
    if (from.era == newest.era && from.number <= newest.number) {
      const StoreRevision to{from.number + up_to(newest.number - from.number), from.era};
      messages_.push_back({.receiver = receiver, .changes = store_.changes(from, to)});
    }
  }

  void list(std::size_t receiver) {
    const StoreRevision newest = store_.revision();
    const StoreRevision listed{up_to(newest.number), newest.era};
    messages_.push_back(
        {.receiver = receiver, .list = store_.list(listed), .list_revision = listed});
  }

  void pass_on(std::size_t sender, std::size_t receiver) {
    const ObjectReplica& from = replicas_[sender];
    const StoreRevision known = replicas_[receiver].revision();
    auto changes = from.changes_since(known);
    if (from.revision() > known && changes) {
      messages_.push_back({.receiver = receiver,
                           .changes = platform::ObjectChanges{.changes = std::move(*changes),
                                                              .store_revision = from.revision()},
                           .gaps = from.gaps_since(known)});
    }
  }

  void deliver() {
    if (messages_.empty()) {
      return;
    }
    const auto place = messages_.begin() + static_cast<std::ptrdiff_t>(up_to(messages_.size() - 1));
    const Message message = std::move(*place);
    messages_.erase(place);
    ObjectReplica& replica = replicas_[message.receiver];
    if (!message.changes) {
      replica.replace(message.list, message.list_revision);
      return;
    }
    replica.apply(*message.changes, message.gaps);
  }

  std::mt19937& random_;
  StoreHistory store_;
  std::vector<Step> steps_;
  std::array<ObjectReplica, 3> replicas_;
  std::vector<Message> messages_;
};

}  // namespace

TEST_CASE("a list shows which objects were changed and removed", "[gateway]") {
  ObjectReplica replica;
  CHECK(replica.replace({object("a", 1), object("b", 2)}, {5}).size() == 2);
  const auto changes = replica.replace({object("b", 2), object("c", 6)}, {7});
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].object.name == "c");
  CHECK(changes[1].object.name == "a");
  CHECK(changes[1].removed);
}

// Guards against a peer or a late answer that returns a gateway to an earlier state.
TEST_CASE("a snapshot older than the replica is ignored", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 8)}, {9});
  CHECK(replica.replace({object("a", 3)}, {4}).empty());
  CHECK(replica.objects().at("a").revision == StoreRevision{8});
  CHECK(replica.revision() == StoreRevision{9});
}

TEST_CASE("changes that are known already are dropped", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 8)}, {9});
  platform::ObjectChanges changes{.changes = {{object("a", 8), false}, {object("a", 7), true}},
                                  .store_revision = {12}};
  CHECK(replica.apply(changes).empty());
  CHECK(replica.revision() == StoreRevision{12});
  CHECK(replica.objects().contains("a"));
  changes.changes = {{object("a", 13), true}};
  CHECK(replica.apply(changes).size() == 1);
  CHECK(replica.objects().empty());
}

// Guards against a server that is gone and comes back into use: a peer tells of the removal while
// the answer to an earlier watch, with an older change of the server, is held up on its link.
TEST_CASE("a late answer does not bring a removed object back", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 3), object("b", 4)}, {5});
  SECTION("the removal came as a peer's complete list") {
    CHECK(replica.replace({object("b", 4)}, {7}).size() == 1);
  }
  SECTION("the removal came as a change") {
    CHECK(replica.apply({.changes = {{object("a", 7), true}}, .store_revision = {7}}).size() == 1);
  }
  CHECK(replica.apply({.changes = {{object("a", 6), false}}, .store_revision = {6}}).empty());
  CHECK_FALSE(replica.objects().contains("a"));
  CHECK(replica.revision() == StoreRevision{7});
  CHECK(replica.apply({.changes = {{object("a", 8), false}}, .store_revision = {8}}).size() == 1);
}

// Guards against the loss of an object that a later page of a list told of, by a list that was read
// before the object was created.
TEST_CASE("an older list does not remove an object that was created later", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 3), object("z", 9)}, {5});
  CHECK(replica.replace({object("a", 3)}, {6}).empty());
  CHECK(replica.objects().contains("z"));
}

// Guards against a gateway that keeps an object of a history that the store has lost, or drops one
// of the present history, since the store gave the numbers of revisions out again.
TEST_CASE("a list of a later era replaces the replica whatever its revision", "[gateway]") {
  ObjectReplica replica;
  replica.replace({object("a", 3), object("b", 9)}, {9});
  platform::StoredObject same = object("a", 3, 1);
  const auto changes = replica.replace({same, object("c", 4, 1)}, {.number = 4, .era = 1});
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].object.name == "c");
  CHECK(changes[1].object.name == "b");
  CHECK(changes[1].removed);
  CHECK(replica.revision() == StoreRevision{.number = 4, .era = 1});
  SECTION("a late answer of the earlier era changes nothing") {
    CHECK(replica.replace({object("b", 20)}, {20}).empty());
    CHECK(replica.apply({.changes = {{object("d", 12), false}}, .store_revision = {12}}).empty());
    CHECK(replica.objects().size() == 2);
  }
  SECTION("a follower of the earlier era is not told of single changes") {
    CHECK_FALSE(replica.changes_since({9}));
    CHECK(replica.has_changes_since({9}));
  }
}

// Guards against an upstream that stays in use at a follower although it is gone: the gateway that
// the follower reads from listed the objects anew and never heard of the upstream.
TEST_CASE("a follower within a gap of its reader is not told of single changes", "[gateway]") {
  ObjectReplica reader;
  reader.replace({object("a", 3)}, {5});
  ObjectReplica follower;
  follower.replace({object("a", 3), object("x", 6)}, {7});
  reader.replace({object("a", 3)}, {9});  // "x" was added at 6 and removed at 8.
  CHECK_FALSE(reader.changes_since(follower.revision()));
  CHECK(reader.changes_since({5}));
  SECTION("nor by a gateway that heard of the gap") {
    ObjectReplica between;
    between.replace({object("a", 3)}, {4});
    between.apply({.changes = {}, .store_revision = {9}}, reader.gaps_since({4}));
    CHECK_FALSE(between.changes_since(follower.revision()));
  }
}

// Guards against an upstream that stays in use at a follower although it is gone: while the reader
// held the follower's poll, a watch of the follower's own told it of the upstream.
TEST_CASE("changes with a gap around the own revision are ignored", "[gateway]") {
  ObjectReplica reader;
  reader.replace({object("a", 3)}, {5});
  ObjectReplica follower;
  follower.replace({object("a", 3)}, {5});
  follower.apply({.changes = {{object("x", 6), false}}, .store_revision = {7}});
  reader.replace({object("a", 3)}, {9});  // "x" was added at 6 and removed at 8.
  const platform::ObjectChanges answer{.changes = *reader.changes_since({5}),
                                       .store_revision = reader.revision()};
  CHECK(follower.apply(answer, reader.gaps_since({5})).empty());
  CHECK(follower.revision() == StoreRevision{7});
  SECTION("a list removes the object") {
    CHECK(follower.replace({object("a", 3)}, {9}).size() == 1);
    CHECK_FALSE(follower.objects().contains("x"));
  }
}

// Guards against an upstream that stays in use at a follower although it is gone: its reader has
// forgotten the removal, after many others.
TEST_CASE("a follower that missed forgotten removals is not told of single changes", "[gateway]") {
  constexpr std::uint64_t kRemovals = 1500;  // More than a replica keeps.
  ObjectReplica reader;
  reader.replace({object("x", 1)}, {1});
  platform::ObjectChanges changes{.changes = {{object("x", 2), true}},
                                  .store_revision = {kRemovals + 2}};
  for (std::uint64_t i = 0; i < kRemovals; ++i) {
    changes.changes.push_back({object("y" + std::to_string(i), i + 3), true});
  }
  SECTION("in one answer") {
    reader.apply(changes);
  }
  SECTION("one by one") {
    for (const platform::ObjectChange& change : changes.changes) {
      reader.apply({.changes = {change}, .store_revision = change.object.revision});
    }
  }
  CHECK_FALSE(reader.changes_since({1}));
  CHECK(reader.has_changes_since({1}));
  CHECK(reader.changes_since({kRemovals}));
}

// Guards against any order of watches, lists, restores and peers' messages in which a replica tells
// something else than the store did at the replica's revision.
TEST_CASE("a replica equals the store at its revision whatever the order of answers", "[gateway]") {
  const char* runs_text = std::getenv("REPLICA_RUNS");
  const int runs = runs_text == nullptr ? 20'000 : std::atoi(runs_text);
  for (int run = 0; run < runs; ++run) {
    CAPTURE(run);
    std::mt19937 random(static_cast<std::uint32_t>(run));
    ReplicaNetwork network(random, run % 2 == 0);
    for (int step = 0; step < 60; ++step) {
      network.step();
      network.check();
    }
  }
}

}  // namespace bluebellstep
