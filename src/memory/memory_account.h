// Memory that callers make a process hold, by connection and in total.
//
// Load pattern: clients that are not under the operator's control open hundreds of connections and
// send bodies that never end, or requests whose answers they do not read. Each connection keeps to
// its own limits, but their sum exhausts a machine with 88 to 512 MB, and the process is killed
// with the requests of all callers.
//
// What can still be refused is limited to a part of the total, so that small requests and answers
// of requests that have run find room. Beyond the total, the connection that holds most at the
// lowest rate of progress is closed.

#ifndef BLUEBELLSTEP_MEMORY_MEMORY_ACCOUNT_H_
#define BLUEBELLSTEP_MEMORY_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/id.h"

namespace bluebellstep {

/** A connection in a `MemoryAccount`. */
using HolderId = Id<struct HolderTag, std::uint64_t>;

/** Limits of a `MemoryAccount` in bytes. */
struct MemoryLimits {
  // Limits if the memory of the instance is not known.
  std::size_t total = 96u << 20;
  std::size_t reserved = 32u << 20;  // Part of `total` that refusable large holdings cannot use.
};

/** Returns the limits for an instance with `memory_mb` (0 if unknown), of which callers may use
 * `share`. */
MemoryLimits memory_limits(std::uint32_t memory_mb, double share);

/** What is to be kept. */
enum class MemoryUse {
  kRefusable,  // A request that has not run. Its caller can be told to come back.
  kCommitted,  // An answer: the request has run.
};

/** Counts bytes of holders. Not thread-safe; must be owned by a `std::shared_ptr`. */
class MemoryAccount : public std::enable_shared_from_this<MemoryAccount> {
 public:
  /** A holder with no more bytes than this is ordinary: it may use the reserved part. It covers
   * the longest head that is allowed by default, and a body of some KB. */
  static constexpr std::size_t kOrdinaryBytes = 64u << 10;

  explicit MemoryAccount(MemoryLimits limits) : limits_(limits) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  HolderId add_holder(Instant now);
  /** The holder's charges may outlive it. They stay counted in the total. */
  void remove_holder(HolderId id) { holders_.erase(id); }

  /** Records that a caller sent or took `bytes`. */
  void record_progress(HolderId id, std::size_t bytes, Instant now);
  /** Sets whether the next step is the caller's, who has to send or to read. Only such holders are
   * returned by `worst_holder`: others wait for an upstream, and have done what they had to. */
  void set_waits_for_caller(HolderId id, bool waits);

  /** Returns the holder to close first, if any but `except` waits for its caller: one that holds
   * much and has moved little of it lately. */
  std::optional<HolderId> worst_holder(Instant now, HolderId except = {}) const;

  /** Returns whether any holder may keep `bytes` more. */
  bool has_room(std::size_t bytes) const { return bytes <= limits_.total - used_; }

  std::size_t used() const { return used_; }
  std::size_t held(HolderId id) const;
  const MemoryLimits& limits() const { return limits_; }

  /** Bytes of one holder, which are released with this object. */
  class Charge {
   public:
    Charge() = default;  // Counts nothing.
    Charge(std::shared_ptr<MemoryAccount> account, HolderId holder)
        : account_(std::move(account)), holder_(holder) {}
    Charge(Charge&& other) noexcept { swap(other); }
    Charge& operator=(Charge&& other) noexcept {
      Charge(std::move(other)).swap(*this);
      return *this;
    }
    ~Charge() { static_cast<void>(resize(0, MemoryUse::kCommitted)); }

    /** Sets the number of bytes. Returns false, and changes nothing, if there is no room. */
    [[nodiscard]] bool resize(std::size_t bytes, MemoryUse use);
    std::size_t bytes() const { return bytes_; }

   private:
    void swap(Charge& other) noexcept;

    std::shared_ptr<MemoryAccount> account_;  // Null if nothing is counted.
    HolderId holder_;
    std::size_t bytes_ = 0;
  };

 private:
  struct Holder {
    std::size_t held = 0;
    double moved = 0;  // Halved in each `kHalfLife`; as of `moved_at`.
    Instant moved_at;
    bool waits_for_caller = true;
  };

  // Short against the timeouts of callers, so that a stalled one is known long before these.
  static constexpr Duration kHalfLife{4000};

  static double decayed_moved(const Holder& holder, Instant now);
  // How urgently the holder should be closed.
  static double badness(const Holder& holder, Instant now);

  bool may_grow(const Holder* holder, std::size_t more, MemoryUse use) const;

  MemoryLimits limits_;
  std::size_t used_ = 0;  // At most `limits_.total`.
  std::uint64_t next_id_ = 1;
  std::map<HolderId, Holder> holders_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_MEMORY_MEMORY_ACCOUNT_H_
