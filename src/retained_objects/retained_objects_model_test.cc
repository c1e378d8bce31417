// A random test of `RetainedObjects` against a store that is restored from older copies.

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "retained_objects/retained_objects.h"

namespace bluebellstep {
namespace {

constexpr Instant kStart{100'000};
const std::vector<std::string> kNames = {"a", "b", "c", "d", "e"};
constexpr Duration kRemovalMemory{60'000};

/** The last write of an upstream's entry. Writes are numbered across all eras. */
struct Write {
  int number = 0;
  bool present = false;
  bool leaving = false;
  int born = 0;

  bool usable() const { return present && !leaving; }
};

std::string encode(const Write& write) {
  return R"({"service":"s","zone":"a","address":"127.0.0.1:9","slots":4,"state":")" +
         std::string(write.leaving ? "draining" : "ready") + R"(","born":)" +
         std::to_string(write.born) + R"(,"write":)" + std::to_string(write.number) + "}";
}

int write_of(const std::string& content) {
  return std::stoi(content.substr(content.rfind(':') + 1));
}

bool usable(const std::string& content) {
  return content.find("draining") == std::string::npos;
}

/** The store. Some of what a restore has lost is written again later, some never. */
class Store {
 public:
  struct Entry {
    Write write;
    std::uint64_t revision = 0;
  };
  using State = std::map<std::string, Entry>;

  explicit Store(std::mt19937& random) : random_(random) {}

  /** An upstream starts, leaves, or its entry is removed. */
  void change() {
    const std::string& name = kNames[random_() % kNames.size()];
    Write& truth = truth_[name];
    truth.number = ++writes_;
    if (!truth.present) {
      truth = {.number = writes_, .present = true, .born = truth.born + 1};
    } else if (!truth.leaving && random_() % 2 == 0) {
      truth.leaving = true;
    } else {
      truth.present = false;
      truth.leaving = false;
    }
    put(name, truth);
  }

  void restore() {
    const std::size_t lost = std::min<std::size_t>(1 + random_() % 6, states_.size() - 2);
    states_.resize(states_.size() - lost);
    ++era_;
  }

  /** A writer notices that the store has lost what it wrote. */
  void write_again() {
    for (const auto& [name, truth] : truth_) {
      const auto stored = states_.back().find(name);
      const int number = stored == states_.back().end() ? 0 : stored->second.write.number;
      if (number != truth.number && random_() % 3 == 0) {
        put(name, truth);
        return;
      }
    }
  }

  StoreRevision revision() const { return {states_.size() - 1, era_}; }
  const State& state() const { return states_.back(); }
  const State& state(std::uint64_t number) const { return states_[number]; }

  std::vector<platform::StoredObject> list() const {
    std::vector<platform::StoredObject> objects;
    for (const auto& [name, entry] : state()) {
      if (entry.write.present) {
        objects.push_back(
            {.name = name, .revision = {entry.revision, era_}, .content = encode(entry.write)});
      }
    }
    return objects;
  }

  platform::ObjectChanges changes_since(const StoreRevision& revision) const {
    platform::ObjectChanges changes{.store_revision = this->revision()};
    for (std::size_t number = revision.number + 1; number < states_.size(); ++number) {
      for (const auto& [name, entry] : states_[number]) {
        if (entry.revision == number) {
          changes.changes.push_back(
              {.object = {.name = name, .revision = {number, era_}, .content = encode(entry.write)},
               .removed = !entry.write.present});
        }
      }
    }
    return changes;
  }

 private:
  void put(const std::string& name, const Write& write) {
    State state = states_.back();
    if (!write.present && !state[name].write.present) {
      return;
    }
    state[name] = {.write = write, .revision = states_.size()};
    states_.push_back(std::move(state));
  }

  std::mt19937& random_;
  int writes_ = 0;
  std::uint64_t era_ = 0;
  std::map<std::string, Write> truth_;
  std::vector<State> states_ = {{}, {}};  // By revision; the first one is 1.
};

/** A gateway, with what it has heard of each upstream that must not be used. */
class Gateway {
 public:
  explicit Gateway(Store& store, Instant now) : store_(store), now_(now) {}

  void list() {
    const bool restored =
        !replica_.revision().is_absent() && store_.revision().era > replica_.revision().era;
    const std::set<std::string> known = known_names();
    auto changes = replica_.replace(store_.list(), store_.revision());
    static_cast<void>(retained_.apply(std::move(changes), restored, replica_, now_));
    record_heard(true, restored, known);
  }

  void watch() {
    if (replica_.revision().era != store_.revision().era || replica_.revision().is_absent()) {
      list();
      return;
    }
    platform::ObjectChanges answer = store_.changes_since(replica_.revision());
    std::set<std::string> changed;
    for (const platform::ObjectChange& change : answer.changes) {
      changed.insert(change.object.name);
    }
    auto changes = replica_.apply(std::move(answer));
    static_cast<void>(retained_.apply(std::move(changes), false, replica_, now_));
    record_heard(false, false, {});
    // What was written in this era counts at once.
    for (const std::string& name : changed) {
      CHECK(content(retained_.objects(), name) == content(replica_.objects(), name));
    }
  }

  void advance(Duration duration) {
    now_ = now_ + duration;
    static_cast<void>(retained_.release(replica_, now_));
    for (auto entry = heard_.begin(); entry != heard_.end();) {
      const Heard& heard = entry->second;
      const bool elapsed = heard.contradicted_at
                               ? now_ >= *heard.contradicted_at + kLeavingRetention
                               : heard.removed_at && now_ >= *heard.removed_at + kRemovalMemory;
      entry = elapsed ? heard_.erase(entry) : std::next(entry);
    }
  }

  void check() const {
    for (const auto& [name, heard] : heard_) {
      const auto known = content(retained_.objects(), name);
      if (known && usable(*known)) {
        INFO(name << " is used by write " << *known << " after write " << heard.number);
        CHECK(write_of(*known) >= heard.number);
      }
    }
    for (const RetainedBelief& belief : retained_.beliefs(now_)) {
      CHECK(belief.left > Duration{0});
      CHECK(belief.left <= kLeavingRetention);
    }
  }

  /** Another gateway starts, lists the store and asks this one. */
  void check_started_gateway() const {
    if (replica_.revision() != store_.revision()) {
      return;
    }
    Gateway started(store_, now_);
    started.list();
    static_cast<void>(started.retained_.adopt(retained_.beliefs(now_), started.replica_, now_));
    for (const RetainedBelief& belief : retained_.beliefs(now_)) {
      if (belief.left >= Duration{500}) {
        CHECK(content(started.retained_.objects(), belief.name) ==
              content(retained_.objects(), belief.name));
      }
    }
  }

  void check_all_beliefs_end() {
    advance(kLeavingRetention);
    CHECK(retained_.beliefs(now_).empty());
    CHECK(retained_.objects().size() == replica_.objects().size());
    for (const auto& [name, object] : replica_.objects()) {
      CHECK(content(retained_.objects(), name) == object.content);
    }
  }

  std::size_t retained() const { return retained_.beliefs(now_).size(); }

 private:
  // An upstream that leaves or is gone, as of the write with this number.
  struct Heard {
    int number = 0;
    std::optional<Instant> removed_at;
    std::optional<Instant> contradicted_at;
  };

  static std::optional<std::string> content(const ObjectReplica::Objects& objects,
                                            const std::string& name) {
    const auto found = objects.find(name);
    return found == objects.end() ? std::nullopt : std::optional(found->second.content);
  }

  std::set<std::string> known_names() const {
    std::set<std::string> names;
    for (const auto& [name, object] : retained_.objects()) {
      names.insert(name);
    }
    return names;
  }

  // @param known  The upstreams that the gateway knew before a list. It does not tell of the
  // removal
  //               of others.
  void record_heard(bool by_list, bool restored, const std::set<std::string>& known) {
    for (const std::string& name : kNames) {
      const auto stored = store_.state().find(name);
      const Write write = stored == store_.state().end() ? Write{} : stored->second.write;
      const auto heard = heard_.find(name);
      const int number = heard == heard_.end() ? 0 : heard->second.number;
      if (by_list && !write.present && heard == heard_.end() && !known.contains(name)) {
        continue;
      }
      if (restored && !write.present) {
        missing_[name] = {write.number, now_};
      }
      // Whether its entry was lost or removed cannot be told at first. A list does not tell either
      // whether it was added and removed again.
      const auto missing = missing_.find(name);
      const bool may_be_lost = !write.present && missing != missing_.end() &&
                               (by_list || missing->second.first == write.number) &&
                               now_ < missing->second.second + kMissingUpstreamRetention;
      if (may_be_lost) {
        missing->second.first = write.number;
      }
      if (write.number < number) {
        // Only a restored store tells of an older write.
        if (write.usable() && !heard->second.contradicted_at) {
          heard->second.contradicted_at = now_;
        }
      } else if (write.usable()) {
        heard_.erase(name);
      } else if (write.number > number && !may_be_lost) {
        heard_[name] = {.number = write.number,
                        .removed_at = write.present ? std::nullopt : std::optional(now_)};
      }
    }
  }

  Store& store_;
  Instant now_;
  ObjectReplica replica_;
  RetainedObjects retained_{platform::ObjectKind::kUpstreams, "upstreams"};
  std::map<std::string, Heard> heard_;
  // The upstreams that the first list of an era lacked, with their last write and the time of it.
  std::map<std::string, std::pair<int, Instant>> missing_;
};

}  // namespace

// Guards against requests to an upstream that had reported that it leaves, or was removed, after
// the store has lost this, and against an upstream that stays unused for good.
TEST_CASE("no restore of the store brings an upstream back that leaves or was removed",
          "[retained]") {
  std::size_t retained_steps = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    Store store(random);
    Gateway gateway(store, kStart);
    gateway.list();
    for (int step = 0; step < 300; ++step) {
      const unsigned operation = random() % 16;
      if (operation < 5) {
        store.change();
      } else if (operation < 8) {
        store.write_again();
      } else if (operation < 12) {
        gateway.watch();
      } else if (operation == 12) {
        gateway.list();
      } else if (operation == 13) {
        store.restore();
      } else {
        gateway.advance(Duration{static_cast<std::int64_t>(random() % 3000)});
      }
      gateway.check();
      gateway.check_started_gateway();
      retained_steps += gateway.retained() > 0 ? 1 : 0;
    }
    gateway.check_all_beliefs_end();
  }
  CHECK(retained_steps > 0);
}

}  // namespace bluebellstep
