// Maps the steps of the lease to steps of the command queue.

#include "commands/command_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"

namespace bluebellstep {

CommandDispatcher::CommandDispatcher(LeaseSettings lease, Duration command_timeout)
    : max_execution_time_(lease.send_margin + command_timeout), lease_(std::move(lease)) {}

CommandId CommandDispatcher::add(UpstreamCommand command) {
  queue_.push_back({{++last_id_}, std::move(command)});
  return queue_.back().id;
}

DispatchStep CommandDispatcher::next(Instant now) {
  const bool upstream_idle = !sent_at_ && now >= execution_possible_until_;
  if (!queue_.empty()) {
    lease_.acquire();
  } else if (upstream_idle) {
    lease_.release();
  }
  const auto on_held = [&](LeaseHeld held) -> DispatchStep {
    if (!upstream_idle) {
      const Instant idle_at =
          sent_at_ ? *sent_at_ + max_execution_time_ : execution_possible_until_;
      return DispatchWait{std::min(held.renew_at, std::max(idle_at, now + Duration{1}))};
    }
    if (!lease_.may_act(now)) {
      return DispatchWait{held.renew_at};
    }
    const QueuedCommand& first = queue_.front();
    return SendCommand{first.id, first.command, lease_.fencing_number()};
  };
  return std::visit(
      Overloaded{[](const PlatformRead& read) -> DispatchStep { return read; },
                 [](const PlatformWrite& write) -> DispatchStep { return write; },
                 [](LeaseCallPending) -> DispatchStep { return DispatchPending{}; }, on_held,
                 [](LeaseWait wait) -> DispatchStep { return DispatchWait{wait.at}; },
                 [](LeaseIdle) -> DispatchStep { return DispatchIdle{}; }},
      lease_.next(now));
}

void CommandDispatcher::on_read(const PlatformClient::ReadResult& result, Instant now) {
  lease_.on_read(result, now);
}

void CommandDispatcher::on_write(const PlatformClient::WriteResult& result, Instant now) {
  lease_.on_write(result, now);
}

bool CommandDispatcher::confirm_send(const SendCommand& send, Instant now) {
  const bool current = !sent_at_ && now >= execution_possible_until_ && !queue_.empty() &&
                       queue_.front().id == send.id &&
                       lease_.fencing_number() == send.fencing_number;
  if (!current || !lease_.may_act(now)) {
    return false;
  }
  sent_at_ = now;
  ++queue_.front().sends;
  return true;
}

void CommandDispatcher::on_result(CommandId id, const CommandResult& result, Instant now) {
  if (!sent_at_ || queue_.empty() || queue_.front().id != id) {
    return;
  }
  const Instant sent_at = *std::exchange(sent_at_, std::nullopt);
  const bool may_retry = queue_.front().sends < kMaxSends;
  std::visit(Overloaded{[&](CommandAccepted) { finish_front(true); },
                        [&](CommandRejected) { finish_front(false); },
                        [&](CommandStale stale) {
                          lease_.report_stale(stale.highest);
                          if (!may_retry) {
                            finish_front(false);
                          }
                        },
                        [&](CommandUnanswered) {
                          execution_possible_until_ =
                              std::max(execution_possible_until_, sent_at + max_execution_time_);
                          if (!may_retry) {
                            finish_front(false);
                          }
                        }},
             result);
}

std::vector<FinishedCommand> CommandDispatcher::take_finished() {
  return std::exchange(finished_, {});
}

void CommandDispatcher::finish_front(bool accepted) {
  finished_.push_back({queue_.front().id, accepted});
  queue_.pop_front();
}

}  // namespace bluebellstep
