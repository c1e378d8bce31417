// Sends commands to one upstream under its lease, one at a time.
//
// Commands set a state (weights, adapter, role), so sending one again is harmless as long as no
// other holder's command came in between. For an upstream that ignores fencing numbers this rests
// on the lease: the check directly before sending, and the next holder's wait for the lease plus
// the command timeout. The check leaves the lease's send margin for a pause between it and the
// write to the socket; a longer pause exactly there is not covered.

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

/** A command to an upstream, see the model engine's `/admin` calls. */
struct UpstreamCommand {
  enum class Kind { kLoadWeights, kLoadAdapter, kSetRole };

  Kind kind = Kind::kLoadWeights;
  std::string model;  // Not for roles.
  std::string value;  // Weight version, adapter or role.
};

/** The upstream carried the command out. */
struct CommandAccepted {};

/** The upstream has seen a higher fencing number. */
struct CommandStale {
  std::uint64_t highest = 0;
};

/** The upstream refuses the command itself; sending it again does not help. */
struct CommandRejected {};

/** No answer within the command timeout, or a broken connection. */
struct CommandUnanswered {};

using CommandResult =
    std::variant<CommandAccepted, CommandStale, CommandRejected, CommandUnanswered>;

/** Ask `confirm_send`; if it agrees, send at once and report the result. */
struct SendCommand {
  CommandId id;
  UpstreamCommand command;
  std::uint64_t fencing_number = 0;
};

/** A call or a command is under way. */
struct DispatchPending {};

/** Call again at `at`. */
struct DispatchWait {
  Instant at;
};

/** There are no commands, and the lease is not held. */
struct DispatchIdle {};

using DispatchStep = std::
    variant<PlatformRead, PlatformWrite, SendCommand, DispatchPending, DispatchWait, DispatchIdle>;

/** The end of a command. */
struct FinishedCommand {
  CommandId id;
  bool accepted = false;
};

/** Queue of commands for one upstream. */
class CommandDispatcher {
 public:
  /** Sends of one command before it counts as failed. */
  static constexpr int kMaxSends = 5;

  /** `command_timeout` bounds a command from its sending to the end of its effect. For upstreams
   * that ignore fencing numbers, `lease.grace` must be at least as long. */
  CommandDispatcher(LeaseSettings lease, Duration command_timeout);

  /** Adds a command; it is sent after those before it. */
  CommandId add(UpstreamCommand command);

  DispatchStep next(Instant now);
  void on_read(const PlatformClient::ReadResult& result, Instant now);
  void on_write(const PlatformClient::WriteResult& result, Instant now);

  /** Must be asked directly before the command is written to the socket, with a time read right
   * then. If it returns false, the command must not be sent; call `next` again. */
  [[nodiscard]] bool confirm_send(const SendCommand& send, Instant now);

  /** Reports the result of a command that was sent, at the command timeout at the latest. */
  void on_result(CommandId id, const CommandResult& result, Instant now);

  /** Returns the commands that ended since the last call. */
  std::vector<FinishedCommand> take_finished();

 private:
  struct Queued {
    CommandId id;
    UpstreamCommand command;
    int sends = 0;
  };

  void finish_first(bool accepted);

  // From the check before sending to the end of the effect: the margin and the command timeout.
  Duration effect_limit_;
  FencedLease lease_;
  std::uint64_t last_id_ = 0;
  std::deque<Queued> queue_;        // The first may be under way.
  std::optional<Instant> sent_at_;  // Set while the first is under way.
  // Until then a command without an answer may still act; nothing is sent and the lease is kept.
  Instant quiet_until_{INT64_MIN};
  std::vector<FinishedCommand> finished_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_COMMANDS_COMMAND_DISPATCHER_H_
