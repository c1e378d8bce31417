// Limit on the requests that a gateway sends to a version of a service that is not accepted yet.
//
// Load pattern: up to hundreds of gateways send to a new version that may be bad, they disagree
// about its state, some restart and some are partitioned. The sum of their requests to it may not
// exceed a share of all requests to the service. Each gateway therefore limits itself by what it
// has sent itself, so that the bound holds without any communication.

#ifndef BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_EXPOSURE_H_
#define BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_EXPOSURE_H_

#include <cstdint>

namespace bluebellstep {

/** The limit on all requests to the new version, summed over all gateways: `share` of the requests
 * to the service, plus `slack` requests. */
struct ExposureLimit {
  double share = 0;
  double slack = 0;
};

/** Counts the requests of one gateway since it learned of a roll-out order. */
class VersionExposure {
 public:
  /** Share of the limit that is used. The rest covers requests to old servers that were counted
   * here, but never reached a server. */
  static constexpr double kUsedShare = 0.85;

  /** @param share       See `ExposureLimit`.
   * @param slack_part  This gateway's part of `ExposureLimit::slack`. 0 for an order that was found
   *                    at the start: the same gateway may have used its part before it restarted.
   */
  VersionExposure(double share, std::uint32_t slack_part)
      : share_(share), slack_part_(slack_part) {}

  /** Share of the requests that go to the new version in the trial. The others go to the old one,
   * so that there is something to compare with. */
  static constexpr double kTrialRequestShare = 0.7;

  /** Whether a further request may be sent to the new version.
   *
   * @param used_part   Part of the allowance that may be used at present, from 0 to 1.
   * @param slack_share Part of the slack that counts at present. It grows with time, so that the
   *                    share of the new version stays about the same.
   */
  bool permits(double used_part, double slack_share) const {
    const double allowance =
        slack_share * slack_part_ + kUsedShare * share_ * static_cast<double>(all_requests_ + 1);
    return static_cast<double>(new_requests_ + 1) <= used_part * allowance;
  }

  /** The same in the trial. */
  bool permits_in_trial() const {
    return permits(1, 1) && static_cast<double>(new_in_trial_ + 1) <=
                                kTrialRequestShare * static_cast<double>(all_in_trial_ + 1);
  }

  /** Counts a request that is sent. */
  void record_sent(bool to_new_version, bool in_trial) {
    ++all_requests_;
    new_requests_ += to_new_version ? 1 : 0;
    all_in_trial_ += in_trial ? 1 : 0;
    new_in_trial_ += in_trial && to_new_version ? 1 : 0;
  }

  /** Takes back a request whose upstream was not reached. */
  void record_not_reached(bool to_new_version) {
    all_requests_ -= all_requests_ > 0 ? 1 : 0;
    new_requests_ -= to_new_version && new_requests_ > 0 ? 1 : 0;
  }

  std::uint64_t new_requests() const { return new_requests_; }
  std::uint64_t all_requests() const { return all_requests_; }

 private:
  double share_;
  std::uint32_t slack_part_;
  std::uint64_t all_requests_ = 0;  // To any version; at least `new_requests_`.
  std::uint64_t new_requests_ = 0;
  std::uint64_t all_in_trial_ = 0;
  std::uint64_t new_in_trial_ = 0;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_SERVICE_ROLLOUT_VERSION_EXPOSURE_H_
