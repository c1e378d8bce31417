// Model of a cache store with a memory and a disk tier, under a virtual clock.
//
// Each tier sits behind a link of limited rate that carries one transfer after the other, in order
// of arrival. The caller moves time with `advance` and fetches ended transfers with `take_results`.

#ifndef BLUEBELLSTEP_STANDINS_STORE_MODEL_H_
#define BLUEBELLSTEP_STANDINS_STORE_MODEL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/id.h"

namespace bluebellstep::standins {

/** Id of one call of a `StoreModel`. */
using StoreCallId = Id<struct StoreCallTag, std::uint64_t>;

/** A tier of the store. */
enum class StoreTier : std::uint8_t { kMemory = 0, kDisk = 1 };

/** Size and link of one tier. */
struct StoreTierOptions {
  std::uint64_t limit_bytes = 0;
  std::uint64_t link_bytes_per_s = 0;
};

/** Settings of a `StoreModel`. */
struct StoreOptions {
  StoreTierOptions memory = {256u << 20, 1'000'000'000};
  StoreTierOptions disk = {1024u << 20, 200'000'000};
};

/** Injected faults. */
struct StoreFaults {
  double slowdown_factor = 1;   // Transfers take this many times as long.
  bool full = false;            // Writes are answered as if the tier were full.
  bool down = false;            // All calls break, those under way included.
  bool partial_writes = false;  // Writes break in the middle; the first half stays readable.
  bool corrupt_reads = false;   // Reads return bytes with one bit changed.
  bool wrong_block = false;     // Reads return the bytes of another key of the tier.
};

/** How a call of the store ended. */
enum class StoreStatus : std::uint8_t {
  kOk,
  kMissing,  // No such key.
  kFull,
  kBroken,  // The connection breaks without an answer.
};

/** End of one call. */
struct StoreResult {
  StoreCallId call;
  Instant at;
  StoreStatus status = StoreStatus::kOk;
  std::string bytes;  // Of a read.
};

/** State of one tier. */
struct StoreTierStatus {
  std::uint64_t used = 0;
  std::uint64_t limit = 0;
  std::uint64_t link_bytes_per_s = 0;
  std::uint64_t queued_bytes = 0;
};

/** Totals since the model was created. */
struct StoreCounters {
  std::uint64_t puts = 0;
  std::uint64_t gets = 0;
  std::uint64_t deletes = 0;
  std::uint64_t misses = 0;
  std::uint64_t full = 0;
  std::uint64_t broken = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

/**
 * The store. A write becomes readable when its transfer ends, and replaces any earlier value. A
 * read returns the value as of its arrival. Calls that transfer nothing end at once.
 */
class StoreModel {
 public:
  StoreModel(StoreOptions options, Instant now);

  /** Runs the links up to `now`. */
  void advance(Instant now);

  /** Returns when to call `advance` next; nothing if the links are idle. */
  std::optional<Instant> next_event() const;

  /** Starts to write `bytes` under `key`. */
  StoreCallId put(StoreTier tier, std::string_view key, std::string bytes, Instant now);

  /** Starts to read `key`. */
  StoreCallId get(StoreTier tier, std::string_view key, Instant now);

  /** Deletes `key`. Transfers of it that are under way are not affected. */
  StoreCallId remove(StoreTier tier, std::string_view key, Instant now);

  /** Returns the calls that ended since the last call, in order. */
  std::vector<StoreResult> take_results() { return std::exchange(results_, {}); }

  /** Returns the state of a tier; nothing while the store is down. */
  std::optional<StoreTierStatus> status(StoreTier tier, Instant now);

  /** Replaces the set of injected faults. Values stay readable after `down` ends. */
  void set_faults(StoreFaults faults, Instant now);

  const StoreCounters& counters() const { return counters_; }

 private:
  struct Transfer {
    StoreCallId call;
    bool is_write = false;
    std::string key;
    std::string bytes;
    double bytes_left = 0;  // Bytes still to carry.
  };

  struct Tier {
    StoreTierOptions options;
    std::map<std::string, std::string, std::less<>> values;
    std::uint64_t used = 0;      // Sum of the sizes of `values`.
    std::uint64_t reserved = 0;  // Sum of the sizes of queued writes.
    std::deque<Transfer> queue;  // The first one is under way.
  };

  Tier& tier(StoreTier tier) { return tiers_[static_cast<std::size_t>(tier)]; }
  StoreCallId finish_call(StoreCallId call, StoreStatus status, std::string bytes = {});
  void enqueue(Tier& tier, Transfer transfer);
  double bytes_per_us(const Tier& tier) const;
  std::optional<std::int64_t> next_completion_us() const;
  void advance_links(std::int64_t to_us);
  void finish_transfer(Tier& tier, Transfer transfer);
  void write_value(Tier& tier, const std::string& key, std::string bytes);
  std::optional<std::string> read_value(const Tier& tier, std::string_view key) const;

  StoreFaults faults_;
  StoreCounters counters_;
  std::array<Tier, 2> tiers_;
  std::int64_t time_us_;
  std::uint64_t last_call_ = 0;
  std::vector<StoreResult> results_;
};

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_STORE_MODEL_H_
