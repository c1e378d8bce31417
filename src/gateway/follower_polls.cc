// Holds and answers polls.

#include "gateway/follower_polls.h"

#include <utility>

namespace bluebellstep {

FollowerPolls::PollId FollowerPolls::add(ChangesQuery query, Respond respond) {
  if (query.wait <= Duration{0} || polls_.size() >= kMaxPolls || has_changes_(query.known)) {
    respond(query.known);
    return 0;
  }
  const PollId id = next_id_++;
  polls_.emplace(id, Poll{std::move(query.known), std::move(respond)});
  return id;
}

void FollowerPolls::expire(PollId id) {
  if (const auto poll = polls_.find(id); poll != polls_.end()) {
    const Poll expired = std::move(poll->second);
    polls_.erase(poll);
    expired.respond(expired.known);
  }
}

void FollowerPolls::on_changes() {
  for (auto poll = polls_.begin(); poll != polls_.end();) {
    if (!has_changes_(poll->second.known)) {
      ++poll;
      continue;
    }
    const Poll answered = std::move(poll->second);
    poll = polls_.erase(poll);
    answered.respond(answered.known);
  }
}

void FollowerPolls::answer_all() {
  for (const auto& [id, poll] : std::exchange(polls_, {})) {
    poll.respond(poll.known);
  }
}

}  // namespace bluebellstep
