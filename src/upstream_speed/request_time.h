// Learns how long requests to a plain service take.
//
// Load pattern: the requests of one plain service take 5 ms and those of another 200 ms. With a
// constant time, the wait at a busy server of the latter counts for less than the way to another
// zone, and queues grow there while other servers are idle.

#ifndef BLUEBELLSTEP_UPSTREAM_SPEED_REQUEST_TIME_H_
#define BLUEBELLSTEP_UPSTREAM_SPEED_REQUEST_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace bluebellstep {

/** The time of a request to one service at a server that is not busy: of each route and of all. */
class RequestTime {
 public:
  /** Time before the first answer. */
  static constexpr double kInitialMs = 20;
  static constexpr double kMinMs = 1;
  static constexpr double kMaxMs = 10'000;
  /** Weight of the newest answer in the averages; the first answers weigh more. */
  static constexpr double kLearningWeight = 0.05;
  /** Answers of further routes count for the service only. */
  static constexpr std::size_t kMaxRoutes = 64;

  /** Expected time of a request of any route. */
  double mean_ms() const { return all_.ms; }
  /** Expected time of a request of the route; that of any route before its first answer. */
  double expect_ms(std::string_view route) const;
  /** Learns from an answer.
   *
   * @param actual_ms  Time of the answer, without the expected wait for others.
   */
  void record(std::string_view route, double actual_ms);

 private:
  struct Mean {
    double ms = kInitialMs;
    std::uint32_t count = 0;

    void add(double sample_ms);
  };

  Mean all_;
  std::map<std::string, Mean, std::less<>> routes_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_UPSTREAM_SPEED_REQUEST_TIME_H_
