// Sends commands to one upstream under its lease, one at a time.
//
// Commands set a state (weights, adapter, role), so retrying one is harmless as long as no command
// of another lease holder was executed in between. For an upstream that ignores fencing numbers,
// the lease alone ensures this: the lease is checked directly before sending, and the next holder
// waits for the lease term plus the command timeout. The check reserves the send margin of the
// lease for a pause of the process between the check and the write to the socket. A longer pause at
// this point is not covered.

#ifndef BLUEBELLSTEP_COMMANDS_COMMAND_DISPATCHER_H_
#define BLUEBELLSTEP_COMMANDS_COMMAND_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "commands/fenced_lease.h"

namespace bluebellstep {

using CommandId = Id<struct CommandTag, std::uint64_t>;

/** A command to an upstream; see the `/admin` calls of the model engine. */
struct UpstreamCommand {
  enum class Kind { kLoadWeights, kLoadAdapter, kSetRole };

  Kind kind = Kind::kLoadWeights;
  std::string model;  // Empty for `kSetRole`.
  std::string value;  // Weight version, adapter or role.
};

/** The upstream executed the command. */
struct CommandAccepted {};

/** The upstream refused the command because it has received a higher fencing number, `highest`. */
struct CommandStale {
  std::uint64_t highest = 0;
};

/** The upstream refused the command for another reason; a retry would fail as well. */
struct CommandRejected {};

/** The command timed out or the connection broke; the command may still be executed. */
struct CommandUnanswered {};

using CommandResult =
    std::variant<CommandAccepted, CommandStale, CommandRejected, CommandUnanswered>;

/** Call `confirm_send`; if it returns true, send the command at once and pass the result to
 * `on_result`. */
struct SendCommand {
  CommandId id;
  UpstreamCommand command;
  std::uint64_t fencing_number = 0;
};

/** The result of the last platform call has not been passed in yet. */
struct DispatchPending {};

/** Call `next` again at `at`. */
struct DispatchWait {
  Instant at;
};

/** The queue is empty and the lease is not held. */
struct DispatchIdle {};

using DispatchStep = std::
    variant<PlatformRead, PlatformWrite, SendCommand, DispatchPending, DispatchWait, DispatchIdle>;

/** Outcome of a command that is no longer in the queue. */
struct FinishedCommand {
  CommandId id;
  bool accepted = false;  // Whether the upstream executed it.
};

/** Queue of commands for one upstream. State machine; performs no I/O. */
class CommandDispatcher {
 public:
  /** A command counts as failed after this many sends. */
  static constexpr int kMaxSends = 5;

  /** `command_timeout` is the maximum time from sending a command until its execution has ended.
   * For upstreams that ignore fencing numbers, `lease.grace` must be at least as long. */
  CommandDispatcher(LeaseSettings lease, Duration command_timeout);

  /** Appends a command. Commands are sent one at a time, in the order of these calls. */
  CommandId add(UpstreamCommand command);

  /** Returns the platform call or command to send next, or the state. */
  DispatchStep next(Instant now);
  void on_read(const PlatformClient::ReadResult& result, Instant now);
  void on_write(const PlatformClient::WriteResult& result, Instant now);

  /** Must be called directly before the command is written to the socket, with `now` read at that
   * moment. If it returns false, the command must not be sent; call `next` again. */
  [[nodiscard]] bool confirm_send(const SendCommand& send, Instant now);

  /** Reports the result of a command that was sent. Must be called no later than the command
   * timeout. */
  void on_result(CommandId id, const CommandResult& result, Instant now);

  /** Returns the commands that finished since the last call. */
  std::vector<FinishedCommand> take_finished();

 private:
  struct QueuedCommand {
    CommandId id;
    UpstreamCommand command;
    int sends = 0;
  };

  void finish_front(bool accepted);

  // Maximum time from `confirm_send` to the end of execution: send margin plus command timeout.
  Duration max_execution_time_;
  FencedLease lease_;
  std::uint64_t last_id_ = 0;
  std::deque<QueuedCommand> queue_;  // The first may be in flight.
  std::optional<Instant> sent_at_;   // Set while the first is in flight.
  // Until then an unanswered command may still be executed; no command is sent and the lease is
  // kept.
  Instant execution_possible_until_{INT64_MIN};
  std::vector<FinishedCommand> finished_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COMMANDS_COMMAND_DISPATCHER_H_
