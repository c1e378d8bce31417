// Decaying sums of observed and reported speeds.

#include "upstream_speed/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace bluebellstep {
namespace {

// Weight of the newest value in the averages of a service; the first values weigh more.
constexpr double kLearningWeight = 0.05;
// The upper bound of the first class of expected times.
constexpr double kFirstTimeClassMs = 10;
// A factor is computed again after this time. Short compared with `kReportHalfLifeMs`.
constexpr Duration kFactorAge{10};
// A reported work time is then worth nothing.
constexpr Duration kMaxWorkTimeAge{400};
// Observations of less weight are forgotten.
constexpr double kMinWeight = 0.05;
// Reported work times within this time of an answer describe the speed at which it was made.
constexpr Duration kMaxStatedAge{1000};
// Answers that one gateway can report for one upstream, so that a faulty report cannot outweigh all
// others for long.
constexpr double kMaxPeerAnswers = 1000;
// Bounds the effect of a single answer, as a logarithm.
const double kMaxLog = std::log(UpstreamSpeed::kMaxFactor);
// A mean absolute deviation is this much smaller than a standard deviation.
constexpr double kDeviationsPerMeanAbsolute = 1.25;
constexpr double kMinSpread = 0.2;

// The weights of a reported work time by its age, in steps of `kFactorAge`. Computed once, since
// each choice needs them for many upstreams.
const std::array<double, kMaxWorkTimeAge.ms / kFactorAge.ms> kReportWeights = [] {
  std::array<double, kMaxWorkTimeAge.ms / kFactorAge.ms> weights{};
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const auto age_ms = static_cast<double>(i) * static_cast<double>(kFactorAge.ms);
    weights[i] =
        UpstreamSpeed::kReportWeight * std::exp2(-age_ms / UpstreamSpeed::kReportHalfLifeMs);
  }
  return weights;
}();

double log_percent(double percent) {
  return std::clamp(std::log(std::max(percent, 1.0) / 100), -kMaxLog, kMaxLog);
}

std::uint32_t to_percent(double log_ratio) {
  return static_cast<std::uint32_t>(std::lround(100 * std::exp(log_ratio)));
}

// Returns 0 below the bound, `value` above twice the bound, and in between a value that grows
// continuously, so that a difference is taken in full once it is certain.
double ignore_below(double value, double bound) {
  const double size = std::abs(value);
  return size >= 2 * bound ? value : size <= bound ? 0 : std::copysign(2 * (size - bound), value);
}

}  // namespace

double ServiceSpeed::relative_time(double expected_ms, double actual_ms) {
  const double size = std::log2(std::max(1.0, expected_ms / kFirstTimeClassMs));
  Mean& usual = usual_time_[std::min(kTimeClasses - 1, static_cast<std::size_t>(size))];
  const double ratio = std::clamp(std::log(std::max(1.0, actual_ms) / std::max(1.0, expected_ms)),
                                  -2 * kMaxLog, 2 * kMaxLog);
  ++usual.count;
  usual.value += std::max(kLearningWeight, 1.0 / usual.count) * (ratio - usual.value);
  return std::clamp(ratio - usual.value, -kMaxLog, kMaxLog);
}

void ServiceSpeed::record_work_time(double log_work_time) {
  usual_work_time_ += kLearningWeight * (log_work_time - usual_work_time_);
}

void ServiceSpeed::record_spread(double deviation) {
  const double sample = std::abs(deviation) * kDeviationsPerMeanAbsolute;
  spread_ = std::max(kMinSpread, spread_ + kLearningWeight * (sample - spread_));
}

UpstreamSpeed::Sums UpstreamSpeed::Sums::at_time(Instant now) const {
  if (weight <= 0 || now <= at) {
    return *this;
  }
  const double share =
      std::exp2(-static_cast<double>((now - at).ms) / static_cast<double>(kHalfLife.ms));
  return {.weight = weight * share, .time = time * share, .stated = stated * share, .at = now};
}

void UpstreamSpeed::Sums::add(const Sums& other, double sign) {
  weight += sign * other.weight;
  time += sign * other.time;
  stated += sign * other.stated;
  if (weight < kMinWeight) {
    // What is left of differences is rounding errors.
    *this = {.at = at};
  }
}

double UpstreamSpeed::significant_mean(double sum, double weight, const ServiceSpeed& service) {
  if (weight < kMinWeight) {
    return 0;
  }
  const double standard_error = service.spread() / std::sqrt(weight);
  return ignore_below(sum / weight, std::max(kDeadBand, kMinStandardErrors * standard_error));
}

void UpstreamSpeed::record_answer(double expected_ms,
                                  double actual_ms,
                                  ServiceSpeed& service,
                                  Instant now) {
  Sums answer{.weight = 1, .time = service.relative_time(expected_ms, actual_ms), .at = now};
  total_ = total_.at_time(now);
  if (own_work_time_ && now <= own_work_time_->at + kMaxStatedAge) {
    service.record_work_time(own_work_time_->log_value);
    answer.stated = own_work_time_->log_value - service.usual_work_time();
  } else if (total_.weight > 0) {
    answer.stated = total_.stated / total_.weight;
  }
  // The mean is taken with one answer of no difference, since the first answer has no spread.
  service.record_spread(answer.time - total_.time / (total_.weight + 1));
  own_ = own_.at_time(now);
  own_.at = now;
  own_.add(answer, 1);
  total_.at = now;
  total_.add(answer, 1);
  has_news_ = true;
  computed_until_ = now;
}

void UpstreamSpeed::record_work_time(double percent, Instant now) {
  own_work_time_ = work_time_ = WorkTime{log_percent(percent), now};
  has_news_ = true;
  computed_until_ = now;
}

void UpstreamSpeed::apply(std::uint32_t gateway, const SpeedReport& report, Instant now) {
  if (report.latest_percent > 0) {
    const Instant at = now - Duration{report.latest_age_ms};
    if (!work_time_ || at > work_time_->at) {
      work_time_ = WorkTime{log_percent(report.latest_percent), at};
    }
  }
  Sums sums{.weight = std::min(report.answers_tenths / 10.0, kMaxPeerAnswers), .at = now};
  sums.time = sums.weight * log_percent(report.time_percent);
  sums.stated = sums.weight * log_percent(report.stated_percent);
  total_ = total_.at_time(now);
  total_.at = now;
  auto peer = std::find_if(peers_.begin(), peers_.end(),
                           [&](const PeerSums& known) { return known.gateway == gateway; });
  // Added before the previous sums are subtracted, so that the difference is not mistaken for a
  // rounding error.
  total_.add(sums, 1);
  if (peer != peers_.end()) {
    total_.add(peer->sums.at_time(now), -1);
    peer->sums = sums;
  } else {
    std::erase_if(
        peers_, [&](const PeerSums& known) { return known.sums.at_time(now).weight < kMinWeight; });
    peers_.push_back({gateway, sums});
  }
  computed_until_ = now;
}

std::optional<SpeedReport> UpstreamSpeed::take_report(std::uint32_t start_tag, Instant now) {
  if (!has_news_ || now < reported_at_ + kReportInterval) {
    return std::nullopt;
  }
  has_news_ = false;
  reported_at_ = now;
  SpeedReport report{.start_tag = start_tag};
  if (const Sums own = own_.at_time(now); own.weight > 0) {
    report.answers_tenths = static_cast<std::uint32_t>(std::lround(own.weight * 10));
    report.time_percent = to_percent(own.time / own.weight);
    report.stated_percent = to_percent(own.stated / own.weight);
  }
  if (own_work_time_ && now <= own_work_time_->at + kMaxReportAge) {
    report.latest_percent = to_percent(own_work_time_->log_value);
    report.latest_age_ms = static_cast<std::uint32_t>((now - own_work_time_->at).ms);
  }
  return report;
}

void UpstreamSpeed::compute_factor(const ServiceSpeed& service, Instant now) const {
  computed_until_ = now + kFactorAge;
  const Sums sums = total_.at_time(now);
  double log_factor = significant_mean(sums.time, sums.weight, service);
  if (work_time_ && now >= work_time_->at && now < work_time_->at + kMaxWorkTimeAge) {
    const auto step = static_cast<std::size_t>((now - work_time_->at).ms / kFactorAge.ms);
    // Corrected if the answers contradict what the upstream reported with them.
    const double latest = work_time_->log_value - service.usual_work_time() +
                          significant_mean(sums.time - sums.stated, sums.weight, service);
    log_factor += kReportWeights[step] * (latest - log_factor);
  }
  factor_ = log_factor == 0 ? 1 : std::clamp(std::exp(log_factor), kMinFactor, kMaxFactor);
}

}  // namespace bluebellstep
