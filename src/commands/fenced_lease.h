// A lease kept as a platform object, with a fencing number that rises with each acquisition.
//
// No clocks of two machines are compared. A holder counts the lease's term from before it sent the
// write; another process counts term and grace from when it read the same version. The second ends
// later than the first, by the grace at least, as long as both clocks run equally fast.

#ifndef BLUEBELLSTEP_COMMANDS_FENCED_LEASE_H_
#define BLUEBELLSTEP_COMMANDS_FENCED_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/clock.h"
#include "platform/platform_calls.h"

namespace bluebellstep {

/** Settings of a lease. */
struct LeaseSettings {
  std::string object_key;
  std::string holder;  // Unique to this incarnation of the process.
  Duration term{10'000};
  // How long the effect of an action under the lease may outlast the lease. Another holder waits
  // for it in addition to the term. 0 where the receiver checks fencing numbers.
  Duration grace{0};
  // Least remaining time for an action; covers a pause between the check and the action.
  Duration send_margin{1000};
  Duration retry_after{200};  // After the platform was unavailable.
  Duration poll{500};         // Between reads of a lease that another process holds.
};

/** The result of the last call has not been handed in yet. */
struct LeaseCallPending {};

/** The lease is held; call again at `renew_at`. Check `may_act` directly before each action. */
struct LeaseHeld {
  Instant renew_at;
};

/** Call again at `at`. */
struct LeaseWait {
  Instant at;
  bool held_by_other = false;  // Else the platform is unavailable.
};

/** The lease is not wanted, and not held. */
struct LeaseIdle {};

using LeaseStep =
    std::variant<PlatformRead, PlatformWrite, LeaseCallPending, LeaseHeld, LeaseWait, LeaseIdle>;

/** Says which platform call to make next to acquire, renew or release the lease. */
class FencedLease {
 public:
  explicit FencedLease(LeaseSettings settings);

  /** Acquires the lease and keeps it. */
  void acquire() { wanted_ = true; }

  /** Gives the lease up, so that others need not wait. Only when every action under it has ended;
   * `may_act` is false from now on. */
  void release() { wanted_ = false; }

  /** Returns the next call or state. */
  LeaseStep next(Instant now);
  void on_read(const PlatformClient::ReadResult& result, Instant now);
  void on_write(const PlatformClient::WriteResult& result, Instant now);

  /** Whether an action may begin right now. */
  bool may_act(Instant now) const;

  /** Number of the current acquisition; 0 if the lease is not held. */
  std::uint64_t fencing_number() const { return held_ ? held_->fencing_number : 0; }

  /** Reports that a receiver has seen the fencing number `highest`: the lease is lost, and the next
   * acquisition takes a higher number. */
  void report_stale(std::uint64_t highest);

 private:
  struct Record {
    std::string holder;  // Empty: released.
    std::uint64_t sequence = 0;
    std::uint64_t fencing_number = 0;
    Duration term;
    Duration grace;

    bool operator==(const Record&) const = default;
  };
  struct Observed {
    ObjectVersion version;
    std::optional<Record> record;  // Nothing if the value is not understood.
    Instant since;                 // When this version was first seen.
  };
  // A write without a known result. It is repeated unchanged until its fate is known, since it may
  // take effect at any time before the object's version changes.
  struct Pending {
    ObjectVersion expected;
    Record record;
    Instant first_sent;
  };
  struct Held {
    ObjectVersion version;
    std::uint64_t fencing_number;
    Instant renew_at;
    Instant valid_until;
  };

  static std::string format(const Record& record);
  static std::optional<Record> parse(const std::string& value);

  LeaseStep next_held(Instant now);
  LeaseStep next_free(Instant now);
  LeaseStep read_object();
  LeaseStep write_object();
  void start_write(ObjectVersion expected, std::uint64_t number, bool release, Instant now);
  void observe(const PlatformObject& object, Instant now);
  void on_written(ObjectVersion version, Instant now);
  void retry_later(Instant now);

  LeaseSettings settings_;
  bool wanted_ = false;
  bool busy_ = false;
  bool must_read_ = true;
  Instant not_before_{INT64_MIN};  // After an unavailable platform.
  std::uint64_t last_sequence_ = 0;
  std::uint64_t highest_seen_ = 0;  // Highest fencing number that a receiver reported.
  std::optional<Observed> observed_;
  std::optional<Pending> pending_;
  std::optional<Held> held_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COMMANDS_FENCED_LEASE_H_
