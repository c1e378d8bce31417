// Combines the queue of commands with the steps of the lease.

#include "commands/command_dispatcher.h"

#include <algorithm>
#include <utility>

#include "base/overloaded.h"

namespace bluebellstep {

CommandDispatcher::CommandDispatcher(LeaseSettings lease, Duration command_timeout)
    : effect_limit_(lease.send_margin + command_timeout), lease_(std::move(lease)) {}

CommandId CommandDispatcher::add(UpstreamCommand command) {
  queue_.push_back({{++last_id_}, std::move(command)});
  return queue_.back().id;
}

DispatchStep CommandDispatcher::next(Instant now) {
  const bool quiet = !sent_at_ && now >= quiet_until_;
  if (!queue_.empty()) {
    lease_.acquire();
  } else if (quiet) {
    lease_.release();
  }
  const auto on_held = [&](LeaseHeld held) -> DispatchStep {
    if (!quiet) {
      const Instant quiet_at = sent_at_ ? *sent_at_ + effect_limit_ : quiet_until_;
      return DispatchWait{std::min(held.renew_at, std::max(quiet_at, now + Duration{1}))};
    }
    if (!lease_.may_act(now)) {
      return DispatchWait{held.renew_at};
    }
    const Queued& first = queue_.front();
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
  const bool current = !sent_at_ && now >= quiet_until_ && !queue_.empty() &&
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
  const bool may_send_again = queue_.front().sends < kMaxSends;
  std::visit(Overloaded{[&](CommandAccepted) { finish_first(true); },
                        [&](CommandRejected) { finish_first(false); },
                        [&](CommandStale stale) {
                          lease_.report_stale(stale.highest);
                          if (!may_send_again) {
                            finish_first(false);
                          }
                        },
                        [&](CommandUnanswered) {
                          quiet_until_ = std::max(quiet_until_, sent_at + effect_limit_);
                          if (!may_send_again) {
                            finish_first(false);
                          }
                        }},
             result);
}

std::vector<FinishedCommand> CommandDispatcher::take_finished() {
  return std::exchange(finished_, {});
}

void CommandDispatcher::finish_first(bool accepted) {
  finished_.push_back({queue_.front().id, accepted});
  queue_.pop_front();
}

}  // namespace bluebellstep
