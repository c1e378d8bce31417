// Tests of what is retained after a restore of the store.

#include "retained_objects/retained_objects.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "retained_objects/belief_format.h"

namespace bluebellstep {
namespace {

using platform::ObjectKind;
using platform::StoredObject;

constexpr Instant kStart{100'000};

std::string upstream(const std::string& state,
                     int born = 1,
                     const std::string& version = "v1",
                     int weights = 1) {
  return nlohmann::json{
      {"service", "s"},           {"zone", "a"},
      {"address", "127.0.0.1:9"}, {"slots", 4},
      {"state", state},           {"born", born},
      {"version", version},       {"models", {{{"name", "m"}, {"version", weights}}}}}
      .dump();
}

std::string versioned(int version) {
  return R"({"model":"m","version":)" + std::to_string(version) + "}";
}

/** A replica with its retained objects, and the objects as their reader knows them. */
class Gateway {
 public:
  explicit Gateway(ObjectKind kind) : retained(kind, "test") {}

  void list(std::vector<StoredObject> objects, const StoreRevision& revision) {
    const bool restored = !replica.revision().is_absent() && revision.era > replica.revision().era;
    auto changes = replica.replace(std::move(objects), revision);
    act_on(retained.apply(std::move(changes), restored, replica, now));
  }
  void watch(platform::ObjectChange change) {
    const StoreRevision revision = change.object.revision;
    auto changes = replica.apply({.changes = {std::move(change)}, .store_revision = revision});
    act_on(retained.apply(std::move(changes), false, replica, now));
  }
  void wait(Duration duration) {
    now = now + duration;
    act_on(retained.release(replica, now));
  }
  void adopt(const Gateway& other) {
    const auto beliefs = decode_beliefs(
        encode_beliefs({{ObjectKind::kUpstreams, other.retained.beliefs(other.now)}}));
    act_on(retained.adopt(beliefs.at(0).beliefs, replica, now));
  }
  /** The content of the object; nothing if it does not exist as far as the reader knows. */
  std::optional<std::string> content(const std::string& name) const {
    const auto found = reader.find(name);
    return found == reader.end() ? std::nullopt : std::optional(found->second);
  }

  Instant now = kStart;
  ObjectReplica replica;
  RetainedObjects retained;
  std::map<std::string, std::string> reader;

 private:
  void act_on(const RetainedObjects::Changes& changes) {
    for (const platform::ObjectChange& change : changes) {
      if (change.removed) {
        reader.erase(change.object.name);
      } else {
        reader[change.object.name] = change.object.content;
      }
    }
    std::map<std::string, std::string> objects;
    for (const auto& [name, object] : retained.objects()) {
      objects[name] = object.content;
    }
    CHECK(objects == reader);
  }
};

StoredObject object(std::string content, std::uint64_t number, std::uint64_t era = 0) {
  return {.name = "o", .revision = {number, era}, .content = std::move(content)};
}

/** A row of the table in docs/design/store-restores.md. */
struct Row {
  std::string name;
  ObjectKind kind{};
  std::string known;     // Empty if the object was removed.
  std::string restored;  // Empty if the object is missing.
  std::optional<Duration> retained_for;
};

std::vector<Row> rows() {
  const std::string ready = upstream("ready");
  const std::string leaving = upstream("draining");
  const std::string unreadable = "null";
  const auto upstreams = ObjectKind::kUpstreams;
  const auto zones = ObjectKind::kZonesOutOfService;
  const auto weights = ObjectKind::kTargetWeights;
  const auto gateways = ObjectKind::kGateways;
  const auto configuration = ObjectKind::kConfiguration;
  return {
      {"leaving, then ready", upstreams, leaving, ready, kLeavingRetention},
      {"removed, then present", upstreams, "", ready, kLeavingRetention},
      {"unreadable, then ready", upstreams, unreadable, ready, kLeavingRetention},
      {"ready, then missing", upstreams, ready, "", kMissingUpstreamRetention},
      {"older start", upstreams, upstream("ready", 2), ready, kProcessRetention},
      {"other software", upstreams, upstream("ready", 1, "v2"), ready, kProcessRetention},
      {"older weights", upstreams, upstream("ready", 1, "v1", 2), ready, kProcessRetention},
      {"newer weights", upstreams, ready, upstream("ready", 1, "v1", 2), std::nullopt},
      {"ready, then leaving", upstreams, ready, leaving, std::nullopt},
      {"removed, then leaving", upstreams, "", leaving, std::nullopt},
      {"ready, then unreadable", upstreams, ready, unreadable, std::nullopt},
      {"leaving, then missing", upstreams, leaving, "", std::nullopt},
      {"leaving, then started again", upstreams, leaving, upstream("ready", 2), std::nullopt},
      // It may have started again and been removed between two lists.
      {"removed, then of a later start", upstreams, "", upstream("ready", 2), kLeavingRetention},
      {"zone out of service, then missing", zones, "{}", "", kOperatorRetention},
      {"zone in service, then out", zones, "", "{}", std::nullopt},
      {"lower target version", weights, versioned(3), versioned(2), kProcessRetention},
      {"missing target version", weights, versioned(3), "", kProcessRetention},
      {"higher target version", weights, versioned(3), versioned(4), std::nullopt},
      {"missing gateway", gateways, "{}", "", kProcessRetention},
      {"other address of a gateway", gateways, "{}", "[]", kProcessRetention},
      {"lower configuration", configuration, versioned(3), versioned(2), kOperatorRetention},
      {"missing configuration", configuration, versioned(3), "", kOperatorRetention},
      {"configuration of the same version", configuration, versioned(3), versioned(3) + " ",
       std::nullopt},
  };
}

}  // namespace

// Guards against a gateway that takes the objects of a restored store for the present ones.
TEST_CASE("what a restored store has lost keeps its effect for the time of its kind",
          "[retained]") {
  for (const Row& row : rows()) {
    INFO(row.name);
    Gateway gateway(row.kind);
    // The known state is of revision 20 and the copy of revision 10.
    gateway.list({object(row.known.empty() ? upstream("ready") : row.known, 15)}, {15});
    if (row.known.empty()) {
      gateway.watch({.object = {.name = "o", .revision = {20}}, .removed = true});
    } else {
      gateway.watch({.object = object(row.known, 20), .removed = false});
    }
    const auto known = gateway.content("o");
    gateway.wait(Duration{5000});
    const bool is_missing = row.restored.empty();
    gateway.list(is_missing ? std::vector<StoredObject>()
                            : std::vector<StoredObject>{object(row.restored, 10, 1)},
                 {12, 1});
    const auto restored = is_missing ? std::nullopt : std::optional(row.restored);
    REQUIRE(known != restored);
    CHECK(gateway.content("o") == (row.retained_for ? known : restored));
    CHECK(gateway.retained.retains("o") == row.retained_for.has_value());
    if (row.retained_for) {
      gateway.wait(*row.retained_for - Duration{1});
      CHECK(gateway.content("o") == known);
      gateway.wait(Duration{1});
      CHECK(gateway.content("o") == restored);
      CHECK_FALSE(gateway.retained.retains("o"));
    }
  }
}

// Guards against an upstream that has started, a zone that is back in service or a configuration
// that takes effect late because the state before it is retained.
TEST_CASE("what is written again after a restore takes effect at once", "[retained]") {
  const std::string ready = upstream("ready");
  Gateway gateway(ObjectKind::kUpstreams);
  gateway.list({object(upstream("draining"), 20)}, {20});
  SECTION("in the list, by a higher number") {
    gateway.list({object(ready, 21, 1)}, {21, 1});
    CHECK(gateway.content("o") == ready);
  }
  SECTION("in a watch") {
    gateway.list({object(ready, 10, 1)}, {12, 1});
    CHECK(gateway.content("o") != ready);
    gateway.watch({.object = object(ready, 13, 1), .removed = false});
    CHECK(gateway.content("o") == ready);
  }
  SECTION("in a further list of the era") {
    gateway.list({object(ready, 10, 1)}, {12, 1});
    gateway.list({object(ready, 14, 1)}, {15, 1});
    CHECK(gateway.content("o") == ready);
  }
  SECTION("before a further restore, by a higher number than in the first one") {
    gateway.list({object(ready, 10, 1)}, {12, 1});
    gateway.list({object(ready, 13, 2)}, {14, 2});
    CHECK(gateway.content("o") == ready);
  }
  SECTION("by its removal") {
    gateway.list({object(ready, 10, 1)}, {12, 1});
    gateway.watch({.object = {.name = "o", .revision = {13, 1}}, .removed = true});
    CHECK_FALSE(gateway.content("o"));
  }
  CHECK_FALSE(gateway.retained.retains("o"));
}

// Guards against new upstreams that get no requests after a restore, since they are written under
// numbers that this gateway knew all of, and against one that was removed and comes back.
TEST_CASE("an upstream that was not known before a restore is new unless it was removed",
          "[retained]") {
  Gateway gateway(ObjectKind::kUpstreams);
  SECTION("never known") {
    gateway.list({}, {20});
    gateway.list({object(upstream("ready"), 10, 1)}, {12, 1});
    CHECK(gateway.content("o"));
  }
  SECTION("removed before the restore") {
    gateway.list({object(upstream("ready"), 10)}, {12});
    gateway.list({}, {20});
    gateway.list({object(upstream("ready"), 10, 1)}, {12, 1});
    CHECK_FALSE(gateway.content("o"));
    gateway.wait(kLeavingRetention);
    CHECK(gateway.content("o"));
  }
  SECTION("removed before the restore, and written again under a later number") {
    gateway.list({object(upstream("ready"), 10)}, {12});
    gateway.list({}, {20});
    gateway.list({object(upstream("ready"), 21, 1)}, {21, 1});
    CHECK(gateway.content("o"));
  }
}

// Guards against an upstream that leaves and is used because the store was restored twice.
TEST_CASE("a further restore neither ends nor extends what is retained", "[retained]") {
  const std::string ready = upstream("ready");
  const std::string leaving = upstream("draining");
  Gateway gateway(ObjectKind::kUpstreams);
  gateway.list({object(leaving, 20)}, {20});
  gateway.list({object(ready, 10, 1)}, {12, 1});
  gateway.wait(kLeavingRetention - Duration{1});
  gateway.list({object(ready, 10, 2)}, {11, 2});
  CHECK(gateway.content("o") == leaving);
  gateway.wait(Duration{1});
  CHECK(gateway.content("o") == ready);
}

// Guards against beliefs that outlast their reason, and against an older entry of the second era
// that counts as a later write because its number is above that from the first era.
TEST_CASE("an object that a restored store holds as it was known is of the new era", "[retained]") {
  const std::string ready = upstream("ready");
  const std::string leaving = upstream("draining");
  Gateway gateway(ObjectKind::kUpstreams);
  gateway.list({object(leaving, 5)}, {5});
  gateway.list({object(ready, 4, 1)}, {4, 1});
  CHECK(gateway.retained.retains("o"));
  gateway.list({object(leaving, 9, 2)}, {9, 2});
  CHECK_FALSE(gateway.retained.retains("o"));
  gateway.list({object(ready, 7, 3)}, {8, 3});
  CHECK(gateway.content("o") == leaving);
}

// Guards against an upstream that is gone and is used for as long as an older start of it was not
// believed.
TEST_CASE(
    "what is retained for another reason after a further restore ends as early as for that one",
    "[retained]") {
  Gateway gateway(ObjectKind::kUpstreams);
  gateway.list({object(upstream("ready", 2), 20)}, {20});
  gateway.list({object(upstream("ready", 1), 10, 1)}, {12, 1});
  gateway.list({}, {13, 2});
  CHECK(gateway.content("o") == upstream("ready", 2));
  gateway.wait(kMissingUpstreamRetention);
  CHECK_FALSE(gateway.content("o"));
}

// Guards against an upstream that was removed and is used by a gateway that started after the
// restore.
TEST_CASE("a gateway that starts after a restore retains what others do", "[retained]") {
  const std::string ready = upstream("ready");
  const std::string leaving = upstream("draining");
  const bool was_removed = GENERATE(false, true);
  Gateway old(ObjectKind::kUpstreams);
  old.list({object(ready, 10)}, {19});
  old.watch({.object = object(leaving, 20), .removed = was_removed});
  old.list({object(ready, 10, 1)}, {12, 1});
  old.wait(Duration{4000});
  Gateway started(ObjectKind::kUpstreams);
  started.now = old.now;
  const auto known = was_removed ? std::nullopt : std::optional(leaving);
  SECTION("that has the list") {
    started.list({object(ready, 10, 1)}, {13, 1});
    started.adopt(old);
    CHECK(started.content("o") == known);
    started.wait(kLeavingRetention - Duration{4001});
    CHECK(started.content("o") == known);
    started.wait(Duration{1});
    CHECK(started.content("o") == ready);
    // The other gateway has a slower clock.
    started.adopt(old);
    CHECK(started.content("o") == ready);
  }
  SECTION("that gets the list later") {
    started.adopt(old);
    started.list({object(ready, 10, 1)}, {13, 1});
    CHECK(started.content("o") == known);
  }
  SECTION("unless the upstream has registered again") {
    started.list({object(ready, 14, 1)}, {14, 1});
    started.adopt(old);
    CHECK(started.content("o") == ready);
  }
  SECTION("unless the store was restored again") {
    started.list({object(ready, 10, 2)}, {11, 2});
    started.adopt(old);
    CHECK(started.content("o") == ready);
  }
}

// Guards against an upstream that was removed and is used because another gateway, which had not
// heard of the removal, expects it to register again.
TEST_CASE("a gateway does not take over that a removed upstream is present", "[retained]") {
  Gateway late(ObjectKind::kUpstreams);
  late.list({object(upstream("ready"), 10)}, {11});
  Gateway informed(ObjectKind::kUpstreams);
  informed.list({object(upstream("ready"), 10)}, {11});
  informed.watch({.object = {.name = "o", .revision = {12}}, .removed = true});
  late.list({}, {5, 1});
  informed.list({}, {5, 1});
  CHECK(late.content("o"));
  informed.adopt(late);
  CHECK_FALSE(informed.content("o"));
}

// Guards against requests to an upstream that was removed after the restore, before the first list
// of the gateway: it is missing there like one that the store has lost.
TEST_CASE("an upstream that the copy held and that is missing was removed since", "[retained]") {
  Gateway gateway(ObjectKind::kUpstreams);
  const auto named = [](std::string name, std::uint64_t number, std::uint64_t era) {
    return StoredObject{
        .name = std::move(name), .revision = {number, era}, .content = upstream("ready")};
  };
  gateway.list({named("a", 3, 1), named("b", 4, 1), named("c", 9, 1)}, {9, 1});
  gateway.list({named("b", 4, 2)}, {6, 2});
  CHECK_FALSE(gateway.content("a"));
  CHECK(gateway.content("b"));
  CHECK(gateway.content("c"));  // Written after the copy; it is not written again yet.
  gateway.wait(kMissingUpstreamRetention);
  CHECK_FALSE(gateway.content("c"));
}

// Guards against a zone that is used although it is out of service: both entries were lost, and one
// was written again under the number that it had.
TEST_CASE("a zone that is written again under its number does not bring another one back",
          "[retained]") {
  Gateway gateway(ObjectKind::kZonesOutOfService);
  const StoredObject first{.name = "z1", .revision = {11, 1}, .content = "{}"};
  const StoredObject second{.name = "z2", .revision = {12, 1}, .content = "{}"};
  gateway.list({first, second}, {12, 1});
  gateway.list({{.name = "z2", .revision = {12, 2}, .content = "{}"}}, {12, 2});
  CHECK(gateway.content("z1"));
}

}  // namespace bluebellstep
