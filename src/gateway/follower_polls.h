// The polls of gateways that follow this one, as long as there is nothing to tell them.

#ifndef BLUEBELLSTEP_GATEWAY_FOLLOWER_POLLS_H_
#define BLUEBELLSTEP_GATEWAY_FOLLOWER_POLLS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "gateway/object_changes.h"

namespace bluebellstep {

/** Holds polls until there are changes for them or their wait is over. Network-free. */
class FollowerPolls {
 public:
  /** Further polls are answered at once. */
  static constexpr std::size_t kMaxPolls = 1000;

  using PollId = std::uint64_t;
  using Respond = std::function<void(const KnownRevisions& known)>;
  using HasChanges = std::function<bool(const KnownRevisions& known)>;

  /** @param has_changes  Whether there are objects newer than these revisions. */
  explicit FollowerPolls(HasChanges has_changes) : has_changes_(std::move(has_changes)) {}

  /** Holds a poll, or answers it at once. Returns its id if it is held, and 0 otherwise. `respond`
   * is called once. */
  PollId add(ChangesQuery query, Respond respond);

  /** The wait of a poll is over. */
  void expire(PollId id);

  /** Objects have changed: answers the polls that do not know them. */
  void on_changes();

  /** Answers all polls, since the store was lost. */
  void answer_all();

  std::size_t size() const { return polls_.size(); }

 private:
  struct Poll {
    KnownRevisions known;
    Respond respond;
  };

  HasChanges has_changes_;
  PollId next_id_ = 1;
  std::map<PollId, Poll> polls_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_FOLLOWER_POLLS_H_
