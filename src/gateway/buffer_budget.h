// Limit on the bytes of callers' requests that a gateway keeps.
//
// A gateway keeps the body of a request until the request ends, since it may have to send it again.
// Many large uploads at once would exhaust the memory of a small instance.

#ifndef BLUEBELLSTEP_GATEWAY_BUFFER_BUDGET_H_
#define BLUEBELLSTEP_GATEWAY_BUFFER_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace bluebellstep {

/** Counts reserved bytes. Not thread-safe. */
class BufferBudget {
 public:
  /** Limit in bytes if the memory of the instance is not known. */
  static constexpr std::size_t kDefaultLimit = 64u << 20;

  explicit BufferBudget(std::size_t limit) : limit_(limit) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  /** Number of reserved bytes. */
  std::size_t used() const { return used_; }

  /** Bytes reserved for one request, which are released with this object. */
  class Reservation {
   public:
    Reservation() = default;
    explicit Reservation(std::shared_ptr<BufferBudget> budget) : budget_(std::move(budget)) {}
    Reservation(Reservation&& other) noexcept { swap(other); }
    Reservation& operator=(Reservation&& other) noexcept {
      Reservation(std::move(other)).swap(*this);
      return *this;
    }
    ~Reservation() {
      if (budget_ != nullptr) {
        budget_->used_ -= bytes_;
      }
    }

    /** Reserves at least `bytes` in all. Returns false, and changes nothing, if that would exceed
     * the limit. */
    bool grow_to(std::size_t bytes) {
      if (bytes <= bytes_ || budget_ == nullptr) {
        return true;
      }
      const std::size_t more = bytes - bytes_;
      if (more > budget_->limit_ - budget_->used_) {
        return false;
      }
      budget_->used_ += more;
      bytes_ = bytes;
      return true;
    }

   private:
    void swap(Reservation& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
    }

    std::shared_ptr<BufferBudget> budget_;  // Null if nothing is counted.
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t limit_;
  std::size_t used_ = 0;  // At most `limit_`.
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_GATEWAY_BUFFER_BUDGET_H_
