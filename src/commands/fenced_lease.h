// A lease that is stored as a platform object, with a fencing number that increases with each
// acquisition; see `FencingNumber`.
//
// Clocks of different machines are never compared. The holder measures the term from before it sent
// the write; another process measures term plus grace from when it read the same object version. As
// long as both clocks run at the same rate, the second period ends at least the grace later than
// the first.
//
// A store that was restored from an older copy has lost the acquisitions of some seconds, so that
// its object does not tell who holds the lease. Four rules follow:
// 1. A lease is held only as long as the process knows of no later era than the one in which it was
//    acquired, and a write that was answered in a later era makes no holder.
// 2. An object that was not written by an acquisition in the present era tells nothing of the
//    holder. A process then waits for term plus grace from when it heard of the era: by then the
//    last holder of an earlier era has stopped, also one that has heard nothing.
// 3. The holder of the era before need not wait until the end of its term, unless it has sent its
//    release. Until then no other process can acquire the lease.
// 4. The fencing number rises with the era, and no two holders can have the same.

#ifndef BLUEBELLSTEP_COMMANDS_FENCED_LEASE_H_
#define BLUEBELLSTEP_COMMANDS_FENCED_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "platform/platform_calls.h"

namespace bluebellstep {

/** Settings of a lease. */
struct LeaseSettings {
  std::string object_key;
  // Unique among processes that run at the same time. A process that is restarted may keep it.
  std::string holder;
  Duration term{10'000};
  // Maximum time for which the effect of an action may continue after the lease expired. Another
  // process waits for term plus grace before it acquires the lease. 0 if the receiver of the
  // actions checks fencing numbers.
  Duration grace{0};
  // Minimum remaining time at which an action is allowed. Covers a pause of the process between the
  // check and the action.
  Duration send_margin{1000};
  Duration retry_delay{200};    // After the platform was unavailable.
  Duration poll_interval{500};  // Of reads while another process holds the lease.
};

/** The result of the last platform call has not been passed in yet. */
struct LeaseCallPending {};

/** The lease is held. Call `next` again at `renew_at`; call `may_act` before each action. */
struct LeaseHeld {
  Instant renew_at;
};

/** Call `next` again at `at`. */
struct LeaseWait {
  Instant at;
  bool held_by_other = false;  // If false, the platform is unavailable.
};

/** The lease is neither requested nor held. */
struct LeaseIdle {};

using LeaseStep =
    std::variant<PlatformRead, PlatformWrite, LeaseCallPending, LeaseHeld, LeaseWait, LeaseIdle>;

/** State machine that acquires, renews and releases the lease; performs no I/O. Make the platform
 * call that `next` returns and pass its result to `on_read` or `on_write`. */
class FencedLease {
 public:
  explicit FencedLease(LeaseSettings settings);

  /** Requests the lease. `next` acquires it and renews it until `release`. */
  void acquire() { requested_ = true; }

  /** Requests the release of the lease, so that other processes need not wait for its expiry. Call
   * only after every action under the lease has ended. `may_act` returns false from now on. */
  void release() { requested_ = false; }

  /** Records the newest era of the store that this process knows of. Call it before `next`, and
   * before `on_read` and `on_write` with an answer that tells of the era.
   *
   * @param known_since  When the process first knew of it. */
  void record_era(std::uint64_t era, Instant known_since, Instant now);

  /** Returns the platform call to make next, or the state of the lease. */
  LeaseStep next(Instant now);
  void on_read(const PlatformClient::ReadResult& result, Instant now);
  void on_write(const PlatformClient::WriteResult& result, Instant now);

  /** Whether an action under the lease may start now. */
  bool may_act(Instant now) const;

  /** Fencing number of the current acquisition; 0 if the lease is not held. */
  std::uint64_t fencing_number() const { return held_ ? held_->fencing_number : 0; }

  /** Reports that a receiver of actions has seen the fencing number `highest`. The next acquisition
   * uses a higher number, and the lease counts as lost if its number is lower. */
  void report_stale(std::uint64_t highest);

  /** Reports that a receiver of actions has rejected `number` and has not told which higher one it
   * has seen. The lease counts as lost if it still has this number. */
  void report_rejected(std::uint64_t number);

 private:
  struct Record {
    std::string holder;  // Empty if released.
    std::uint64_t sequence = 0;
    std::uint64_t fencing_number = 0;
    Duration term;
    Duration grace;

    bool operator==(const Record&) const = default;
  };
  struct Observed {
    StoreRevision version;
    std::optional<Record> record;  // nullopt if the format is unknown.
    Instant first_read_at;         // When this version was first read.
  };
  // A write whose result is not known yet. It is retried unchanged until the result is known, since
  // an earlier attempt may take effect at any time until the version of the object changes.
  struct PendingWrite {
    StoreRevision expected;
    Record record;
    Instant first_sent_at;
  };
  struct Held {
    StoreRevision version;
    std::uint64_t fencing_number;
    Instant renew_at;
    Instant valid_until;
  };

  static std::string format(const Record& record);
  static std::optional<Record> parse(const std::string& value);

  LeaseStep next_held(Instant now);
  LeaseStep next_not_held(Instant now);
  LeaseStep start_read();
  LeaseStep start_write();
  // Until when the lease may be held by another process, as far as the object tells.
  Instant free_at(Instant now) const;
  // Whether a release was sent, after which another process may hold the lease at any time.
  bool is_releasing() const;
  // Whether the object was written by an acquisition, or its release, in the present era.
  bool is_of_this_era(const Record& record) const;
  std::uint64_t next_number() const;
  void lose(std::string_view reason);
  void prepare_write(StoreRevision expected, std::uint64_t number, bool release, Instant now);
  void on_object(const PlatformObject& object, Instant now);
  void on_written(StoreRevision version, Instant now);
  void retry_later(Instant now);

  LeaseSettings settings_;
  bool requested_ = false;
  bool call_pending_ = false;
  bool needs_read_ = true;
  Instant not_before_{INT64_MIN};  // No platform call is made earlier.
  std::uint64_t last_sequence_ = 0;
  std::uint64_t highest_known_ = 0;   // Highest fencing number in an object or a report.
  std::uint64_t era_ = 0;             // The newest era of the store that is known.
  Instant era_since_{INT64_MIN / 2};  // When this process first knew of the era.
  // Until when this process may acquire the lease without a wait: the end of the term in which it
  // held the lease when it heard of the era. Later, another process may hold it.
  Instant no_wait_until_{INT64_MIN};
  std::optional<Observed> observed_;
  std::optional<PendingWrite> pending_write_;
  std::optional<Held> held_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COMMANDS_FENCED_LEASE_H_
