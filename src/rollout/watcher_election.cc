// Elects the watchers by rendezvous hashing, and schedules the calls.

#include "rollout/watcher_election.h"

#include "base/hash.h"

namespace bluebellstep {
namespace {

std::uint64_t watcher_score(std::string_view name) {
  return rendezvous_score(hash64("bundle/current"), hash64(name));
}

Duration random_below(Random& random, Duration bound) {
  return {static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(bound.ms)))};
}

}  // namespace

WatcherElection::WatcherElection(std::string_view own_name, bool is_entry, std::uint64_t seed)
    : own_score_(watcher_score(own_name)),
      is_entry_(is_entry),
      random_(seed),
      jitter_(random_below(random_, kMaxReadJitter)) {}

void WatcherElection::on_entry_heartbeat(std::string_view name, bool lists_us, Instant now) {
  if (lists_us) {
    entries_.insert_or_assign(std::string(name), now);
  }
  std::erase_if(entries_,
                [now](const auto& entry) { return now - entry.second > kMaxHeartbeatAge; });
}

bool WatcherElection::is_watcher(Instant now) const {
  if (!is_entry_) {
    return false;
  }
  std::size_t higher_ranked = 0;
  for (const auto& [name, last_heartbeat_at] : entries_) {
    higher_ranked +=
        now - last_heartbeat_at <= kMaxHeartbeatAge && watcher_score(name) > own_score_ ? 1 : 0;
  }
  return higher_ranked < kWatcherCount;
}

WatcherElection::Call WatcherElection::next_call(Instant now,
                                                 std::optional<Duration> confirmed_age) {
  if (in_flight_ != Call::kNone || (call_not_before_ && now < *call_not_before_)) {
    return Call::kNone;
  }
  if (is_watcher(now)) {
    in_flight_ = Call::kWatch;
  } else if ((!confirmed_age || *confirmed_age >= kConfirmationLimit + jitter_) &&
             (!read_not_before_ || now >= *read_not_before_)) {
    in_flight_ = Call::kRead;
  }
  return in_flight_;
}

void WatcherElection::on_call_finished(bool answered, Instant now) {
  jitter_ = random_below(random_, kMaxReadJitter);
  const auto after = [&](Duration delay) { return now + delay + random_below(random_, delay); };
  if (answered && in_flight_ == Call::kRead) {
    read_not_before_ = after(kMinReadInterval);
  }
  call_not_before_ = after(answered ? kMinCallInterval : kMinRetryDelay);
  in_flight_ = Call::kNone;
}

}  // namespace bluebellstep
