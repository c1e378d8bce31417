// Model of a cache store with a memory and a disk tier, under a virtual clock.
// Each tier has a link of limited rate that performs one transfer at a time, in order of arrival.
// The user of the model advances the time with `advance` and collects the results of ended calls
// with `take_results`.

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

/** Id of one read, write or deletion in a `StoreModel`. */
using StoreCallId = Id<struct StoreCallTag, std::uint64_t>;

/** A tier of the store. */
enum class StoreTier : std::uint8_t { kMemory = 0, kDisk = 1 };

/** Size and link rate of one tier. */
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
  double slowdown_factor = 1;   // Multiplies the duration of transfers.
  bool full = false;            // Writes fail as if the tier were full.
  bool down = false;            // All calls break, including those in progress.
  bool partial_writes = false;  // Writes break halfway; the first half is stored.
  bool corrupt_reads = false;   // Reads return the value with one bit changed.
  bool wrong_block = false;     // Reads return the value of another key in the tier.
};

/** Outcome of a call to the store. */
enum class StoreStatus : std::uint8_t {
  kOk,
  kMissing,  // There is no such key.
  kFull,     // The tier has no room for the value.
  kBroken,   // The connection breaks without a response.
};

/** Result of one call. */
struct StoreResult {
  StoreCallId call;
  Instant at;  // When the call ended.
  StoreStatus status = StoreStatus::kOk;
  std::string bytes;  // Value returned by a read.
};

/** State of one tier. */
struct StoreTierStatus {
  std::uint64_t used = 0;   // Bytes.
  std::uint64_t limit = 0;  // Bytes.
  std::uint64_t link_bytes_per_s = 0;
  std::uint64_t queued_bytes = 0;  // Bytes still to be transferred.
};

/** Totals since the model was created. */
struct StoreCounters {
  std::uint64_t puts = 0;
  std::uint64_t gets = 0;
  std::uint64_t deletes = 0;
  std::uint64_t misses = 0;  // Reads and deletions of a missing key.
  std::uint64_t full = 0;    // Writes that failed because the tier was full.
  std::uint64_t broken = 0;  // Calls whose connection broke.
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

/**
 * Model of a cache store. A written value becomes readable when its transfer ends, and replaces
 * the earlier value of the key. A read returns the value that was stored when the read arrived.
 * Calls that transfer no data end immediately. Every method that takes `now` first advances the
 * model to that time.
 */
class StoreModel {
 public:
  /** Creates an empty store at time `now`. The link rates in `options` must be above 0. */
  StoreModel(StoreOptions options, Instant now);

  /** Runs the transfers up to `now`. */
  void advance(Instant now);

  /** Returns the time at which to call `advance` next; nothing if no transfer is in progress. */
  std::optional<Instant> next_event() const;

  /** Starts to write `bytes` as the value of `key`. */
  StoreCallId put(StoreTier tier, std::string_view key, std::string bytes, Instant now);

  /** Starts to read the value of `key`. */
  StoreCallId get(StoreTier tier, std::string_view key, Instant now);

  /** Deletes `key`. Does not affect transfers of its value that are queued or in progress. */
  StoreCallId remove(StoreTier tier, std::string_view key, Instant now);

  /** Returns the results of the calls that ended since the last `take_results`, in order. */
  std::vector<StoreResult> take_results() { return std::exchange(results_, {}); }

  /** Returns the state of a tier; nothing while the store is down. */
  std::optional<StoreTierStatus> status(StoreTier tier, Instant now);

  /** Replaces the set of injected faults. Stored values are kept while the store is down. The
   * slowdown factor must be above 0. */
  void set_faults(StoreFaults faults, Instant now);

  const StoreCounters& counters() const { return counters_; }

 private:
  struct Transfer {
    StoreCallId call;
    bool is_write = false;
    std::string key;
    std::string bytes;
    double bytes_left = 0;  // Not transferred yet.
  };

  struct Tier {
    StoreTierOptions options;
    std::map<std::string, std::string, std::less<>> values;
    std::uint64_t used = 0;      // Sum of the sizes of `values`, in bytes.
    std::uint64_t reserved = 0;  // Sum of the sizes of queued writes, in bytes.
    std::deque<Transfer> queue;  // The first transfer is in progress.
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
