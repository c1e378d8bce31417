// Randomized test of roll-out and zone notices: many processes under a virtual clock, with lost and
// delayed messages, broken links, pauses, restarts, platform outages and lost answers.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <set>

#include "base/random.h"
#include "rollout/bundle_tracker.h"
#include "rollout/watcher_election.h"
#include "tests/support/test_bundle.h"
#include "zones/zone_registry.h"

namespace bluebellstep {
namespace {

constexpr std::size_t kEntries = 6;
constexpr std::size_t kProcesses = 18;
constexpr Duration kTick = {10};
constexpr Duration kBundleBound = {8000};
constexpr Duration kZoneBound = {2000};
constexpr Instant kNever = {-1'000'000'000};

// Rule to disable in a run, to show that the checks detect its absence.
enum class Omitted {
  kNothing,
  kNewerOnly,  // A document from a peer replaces the bundle regardless of its generation.
  kPeerFetch,  // Bundles are received from the platform only.
  kOwnRead,    // After the first bundle, bundles are received from peers only.
};

struct Process {
  Process(const OperatorKeys& keys, std::size_t index, std::uint64_t seed)
      : name("p" + std::to_string(index)),
        is_entry(index < kEntries),
        tracker(BundleSigner(keys), name),
        election(name, is_entry, seed),
        registry(keys) {}

  std::string name;
  bool is_entry;
  BundleTracker tracker;
  WatcherElection election;
  ZoneRegistry registry;
  std::map<std::string, Instant> entry_heartbeats;
  Instant next_heartbeat;
  std::uint64_t announced_generation = 0;
  std::uint64_t announced_serial = 0;
};

// Host of a process. Outlives restarts of the process, which lose the state of `Process`.
struct Host {
  std::optional<Process> process;
  std::uint64_t incarnation = 0;
  Instant paused_until = kNever;
  Instant platform_cut_until = kNever;
  Instant connected_since = kNever;
  std::uint64_t highest_generation = 0;  // Of this incarnation.
  std::uint64_t highest_serial = 0;      // Of zone a, in this incarnation.
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, bool with_faults, Omitted omitted = Omitted::kNothing)
      : random_(seed), with_faults_(with_faults), omitted_(omitted) {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      restart(i);
    }
  }

  void run(Duration length) {
    const Instant end = now_ + length;
    while (now_ < end) {
      now_ = now_ + kTick;
      if (with_faults_) {
        inject_faults();
      }
      publish();
      deliver();
      for (std::size_t i = 0; i < kProcesses; ++i) {
        step(i);
      }
      check();
    }
  }

  /** Breaks the links of a process to all others; it still reaches the platform. */
  void cut_off(std::size_t i, Duration length) {
    for (std::size_t j = 0; j < kProcesses; ++j) {
      broken_links_[{std::min(i, j), std::max(i, j)}] = now_ + length;
    }
  }

  Duration worst_bundle() const { return worst_bundle_; }
  Duration worst_zone() const { return worst_zone_; }
  std::uint64_t generation() const { return documents_.size(); }
  /** Description of a state that was reverted; empty if none was. */
  const std::string& reversal() const { return reversal_; }
  std::size_t calls() const { return calls_; }

 private:
  struct Event {
    std::size_t target;
    std::uint64_t incarnation;
    std::function<void(Process&)> action;
  };

  bool paused(std::size_t i) const { return now_ < hosts_[i].paused_until; }
  bool platform_up() const { return now_ >= platform_down_until_; }
  bool reaches_platform(std::size_t i) const {
    return platform_up() && now_ >= hosts_[i].platform_cut_until;
  }
  bool linked(std::size_t a, std::size_t b) const {
    const auto cut = broken_links_.find({std::min(a, b), std::max(a, b)});
    return a != b && (a < kEntries || b < kEntries) &&
           (cut == broken_links_.end() || now_ >= cut->second);
  }

  void restart(std::size_t i) {
    Host& host = hosts_[i];
    ++host.incarnation;
    host.process.emplace(operators_.keys(), i, random_.next());
    host.process->next_heartbeat = now_ + random_duration(500);
    host.highest_generation = 0;
    host.highest_serial = 0;
    host.connected_since = now_;
    zone_since_[i] = now_;
  }

  Duration random_duration(std::uint64_t bound) {
    return {static_cast<std::int64_t>(random_.below(bound))};
  }

  void after(Duration delay, std::size_t target, std::function<void(Process&)> action) {
    events_.emplace(now_ + delay, Event{target, hosts_[target].incarnation, std::move(action)});
  }

  // Delivers the events that are due. A paused process receives them when it resumes; those of an
  // earlier incarnation are dropped.
  void deliver() {
    while (!events_.empty() && events_.begin()->first <= now_) {
      auto node = events_.extract(events_.begin());
      Event& event = node.mapped();
      if (paused(event.target)) {
        node.key() = hosts_[event.target].paused_until;
        events_.insert(std::move(node));
      } else if (event.incarnation == hosts_[event.target].incarnation) {
        event.action(*hosts_[event.target].process);
      }
    }
  }

  void step(std::size_t i) {
    if (paused(i)) {
      return;
    }
    Process& process = *hosts_[i].process;
    // Changes are announced at once, not with the next periodic heartbeat.
    const auto zone = process.registry.state("a");
    const std::uint64_t serial = zone ? zone->serial : 0;
    if (now_ >= process.next_heartbeat || serial > process.announced_serial ||
        process.tracker.generation() > process.announced_generation) {
      process.next_heartbeat = now_ + 500_ms;
      process.announced_generation = process.tracker.generation();
      process.announced_serial = serial;
      for (std::size_t j = 0; j < kProcesses; ++j) {
        send_heartbeat(i, j);
      }
    }
    const auto peer = process.tracker.peer_to_fetch_from(now_);
    if (peer && omitted_ != Omitted::kPeerFetch) {
      fetch(i, *peer);
    }
    const auto call = process.election.next_call(now_, process.tracker.confirmed_age(now_));
    const bool reads = omitted_ != Omitted::kOwnRead || !process.tracker.ready();
    if (call != WatcherElection::Call::kNone && reads) {
      call_platform(i, call == WatcherElection::Call::kWatch);
    }
  }

  bool fault(double probability) { return with_faults_ && random_.chance(probability); }

  void send_heartbeat(std::size_t from, std::size_t to) {
    if (!linked(from, to) || fault(0.2)) {
      return;
    }
    const Process& sender = *hosts_[from].process;
    std::set<std::string> heartbeat_senders;
    for (const auto& [name, at] : sender.entry_heartbeats) {
      if (now_ - at <= WatcherElection::kMaxHeartbeatAge) {
        heartbeat_senders.insert(name);
      }
    }
    // One in a hundred is delayed by up to the inactivity timeout of the connection.
    const Duration delay = fault(0.01) ? random_duration(1500) : random_duration(50);
    after(delay, to,
          [this, name = sender.name, is_entry = sender.is_entry, heartbeat_senders,
           generation = sender.tracker.generation(), age = sender.tracker.confirmed_age(now_),
           notices = sender.registry.notices()](Process& receiver) {
            receiver.tracker.on_peer_heartbeat(name, generation, age, now_);
            for (const ZoneNotice& notice : notices) {
              receiver.registry.apply_notice(notice, now_);
            }
            if (is_entry) {
              receiver.entry_heartbeats[name] = now_;
              receiver.election.on_entry_heartbeat(name, heartbeat_senders.contains(receiver.name),
                                                   now_);
            }
          });
  }

  void fetch(std::size_t i, const std::string& peer) {
    Process& process = *hosts_[i].process;
    process.tracker.on_fetch_started(peer, now_);
    const std::size_t source = std::stoul(peer.substr(1));
    if (!linked(i, source) || paused(source) || fault(0.1)) {
      if (random_.chance(0.5)) {  // Otherwise the fetch is never answered.
        after(500_ms, i, [this, peer](Process& p) { p.tracker.on_fetch_failed(peer, now_); });
      }
      return;
    }
    // One in twenty documents is corrupted.
    std::string document = hosts_[source].process->tracker.document();
    if (!document.empty() && fault(0.05)) {
      document[random_.below(document.size())] ^= 1;
    }
    // Some arrive so late that a newer bundle was received from elsewhere in the meantime.
    after(random_duration(fault(0.1) ? 4000 : 100), i, [this, peer, document](Process& p) {
      if (omitted_ == Omitted::kNewerOnly) {
        p.tracker = BundleTracker(BundleSigner(operators_.keys()), p.name);
      }
      p.tracker.on_fetch_finished(peer, document, now_);
    });
  }

  void call_platform(std::size_t i, bool watch) {
    ++calls_;
    const Duration wait = watch ? WatcherElection::kWatchWait : Duration{0};
    if (!reaches_platform(i) || fault(0.1)) {
      const Duration failure_delay =
          random_.chance(0.5) ? 5_ms : wait + WatcherElection::kCallTimeout;
      after(failure_delay, i, [this](Process& p) { p.election.on_call_finished(false, now_); });
      return;
    }
    after(random_duration(10), i,
          [this, i, start = now_, wait](Process&) { answer_call(i, start, start + wait); });
  }

  // Answers a read, or polls the object until it changes or the wait time of the watch is over.
  void answer_call(std::size_t i, Instant start, Instant deadline) {
    Process& process = *hosts_[i].process;
    if (!reaches_platform(i)) {
      return process.election.on_call_finished(false, now_);
    }
    const StoreRevision version{documents_.size()};
    const bool watch = deadline > start;
    if (!documents_.empty() && (!watch || version > process.tracker.platform_version())) {
      return after(random_duration(fault(0.1) ? 1000 : 10), i,
                   [this, start, version, document = documents_.back()](Process& p) {
                     p.tracker.on_platform_document(version, document, start);
                     p.election.on_call_finished(true, now_);
                   });
    }
    if (now_ < deadline) {
      return after(kTick, i,
                   [this, i, start, deadline](Process&) { answer_call(i, start, deadline); });
    } else if (watch) {
      process.tracker.on_watch_unchanged(deadline);
    }
    process.election.on_call_finished(true, now_);
  }

  // Publishes a generation or sends a zone notice to a random process, both at random times.
  void publish() {
    if (platform_up() && (documents_.empty() || random_.chance(0.001))) {
      documents_.push_back(test_document(operators_, test_bundle_text(documents_.size() + 1)));
      published_.push_back(now_);
    }
    const std::size_t i = random_.below(kProcesses);
    if (random_.chance(0.0015) && !paused(i) && (!notice_at_ || now_ - *notice_at_ > 3_s)) {
      ZoneNotice notice{"a", !zone_in_, ++serial_, "ana", ""};
      REQUIRE(sign_zone_notice(notice, operators_.ana.private_key));
      REQUIRE(hosts_[i].process->registry.apply_notice(notice, now_) == ZoneNoticeResult::kApplied);
      zone_in_ = notice.in_service;
      notice_at_ = now_;
      notice_given_to_ = i;
    }
  }

  void inject_faults() {
    const std::size_t i = random_.below(kProcesses);
    if (random_.chance(0.002)) {
      hosts_[i].paused_until = now_ + random_duration(12'000);
    }
    if (random_.chance(0.0005)) {
      restart(i);
    }
    if (random_.chance(0.002)) {
      hosts_[i].platform_cut_until = now_ + random_duration(30'000);
    }
    if (random_.chance(0.0003)) {
      platform_down_until_ = now_ + random_duration(20'000);
    }
    if (random_.chance(0.01)) {
      const std::size_t j = random_.below(kProcesses);
      broken_links_[{std::min(i, j), std::max(i, j)}] = now_ + random_duration(20'000);
    }
    if (random_.chance(0.0005)) {
      cut_off(i, random_duration(20'000));
    }
  }

  // Whether the process reaches the platform directly or through one peer.
  bool connected(std::size_t i) const {
    if (paused(i)) {
      return false;
    }
    for (std::size_t j = 0; j < kProcesses; ++j) {
      if (reaches_platform(i) || (linked(i, j) && !paused(j) && reaches_platform(j))) {
        return true;
      }
    }
    return false;
  }

  void check() {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      Host& host = hosts_[i];
      const std::uint64_t generation = host.process->tracker.generation();
      if (generation < host.highest_generation) {
        reversal_ = "a generation was reverted";
      }
      host.highest_generation = generation;
      const auto zone = host.process->registry.state("a");
      if (zone && zone->serial < host.highest_serial) {
        reversal_ = "a zone notice was replaced by an older one";
      }
      host.highest_serial = zone ? zone->serial : 0;
      host.connected_since = connected(i) ? host.connected_since : now_;
      if (generation < documents_.size()) {
        const Instant since = std::max(host.connected_since, published_[generation]);
        worst_bundle_ = std::max(worst_bundle_, now_ - since);
      }
      check_zone(i);
    }
  }

  // Whether heartbeats can propagate the notice to `i` from the process that received it first.
  bool notice_can_reach(std::size_t i) const {
    const std::size_t source = notice_given_to_;
    if (paused(i) || paused(source)) {
      return false;
    }
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      if ((entry == i || linked(entry, i)) && (entry == source || linked(entry, source)) &&
          !paused(entry)) {
        return true;
      }
    }
    return false;
  }

  bool has_notice(std::size_t i) const {
    const auto state = hosts_[i].process->registry.state("a");
    return state && state->serial == serial_;
  }

  // Zone notices must propagate while the platform is down, so its state is not considered here.
  void check_zone(std::size_t i) {
    if (!notice_at_ || has_notice(i)) {
      zone_since_.erase(i);
      return;
    }
    if (!notice_can_reach(i) || !has_notice(notice_given_to_)) {
      zone_since_[i] = now_;
    }
    const Instant since = zone_since_.try_emplace(i, *notice_at_).first->second;
    worst_zone_ = std::max(worst_zone_, now_ - std::max(since, *notice_at_));
  }

  Random random_;
  bool with_faults_;
  Omitted omitted_;
  std::string reversal_;
  TestOperators operators_;
  Instant now_ = {1'000'000};
  std::array<Host, kProcesses> hosts_;
  std::multimap<Instant, Event> events_;
  std::map<std::pair<std::size_t, std::size_t>, Instant> broken_links_;
  Instant platform_down_until_ = kNever;
  std::vector<std::string> documents_;  // Index + 1 is both generation and version.
  std::vector<Instant> published_;
  std::size_t calls_ = 0;
  bool zone_in_ = true;
  std::uint64_t serial_ = 1;
  std::optional<Instant> notice_at_;
  std::size_t notice_given_to_ = 0;
  std::map<std::size_t, Instant> zone_since_;
  Duration worst_bundle_;
  Duration worst_zone_;
};

}  // namespace

// Guards against a process that keeps an old bundle after a lost message, a lost answer, an outage
// or a pause; against a return to an older bundle after a delayed message; and against a zone
// notice that is not propagated.
TEST_CASE("bundles and zone notices spread in time under random faults", "[rollout][zones]") {
  Duration worst_bundle;
  Duration worst_zone;
  std::uint64_t generations = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulation simulation(seed, true);
    if (seed % 4 == 0) {
      // Guards against a process that receives bundles from its peers only.
      simulation.cut_off(kProcesses - 1, 120_s);
    }
    simulation.run(120_s);
    INFO("seed " << seed << ": " << simulation.reversal());
    REQUIRE(simulation.reversal().empty());
    CHECK(simulation.worst_bundle() <= kBundleBound);
    CHECK(simulation.worst_zone() <= kZoneBound);
    worst_bundle = std::max(worst_bundle, simulation.worst_bundle());
    worst_zone = std::max(worst_zone, simulation.worst_zone());
    generations += simulation.generation();
  }
  CHECK(generations > 100);
  std::cout << "roll-out under faults: " << generations << " generations, slowest process "
            << worst_bundle.ms << " ms, slowest zone notice " << worst_zone.ms << " ms\n";
}

// Guards against a simulation that does not detect a missing rule.
TEST_CASE("each rule of the roll-out is needed", "[rollout]") {
  const Omitted omitted = GENERATE(Omitted::kNewerOnly, Omitted::kPeerFetch, Omitted::kOwnRead);
  CAPTURE(static_cast<int>(omitted));
  bool failed = false;
  for (std::uint64_t seed = 1; seed <= 20 && !failed; ++seed) {
    Simulation simulation(seed, true, omitted);
    simulation.run(120_s);
    failed = !simulation.reversal().empty() || simulation.worst_bundle() > kBundleBound;
  }
  CHECK(failed);
}

// Guards against overloading the platform in normal operation.
TEST_CASE("without faults only a few processes call the platform", "[rollout]") {
  Simulation simulation(99, false);
  simulation.run(60_s);
  std::cout << "roll-out without faults: slowest process " << simulation.worst_bundle().ms
            << " ms, " << simulation.calls() / 60 << " platform calls/s by " << kProcesses
            << " processes\n";
  CHECK(simulation.worst_bundle() <= 2_s);
  CHECK(simulation.calls() / 60 <= 4);
}

}  // namespace bluebellstep
