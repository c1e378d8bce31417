// Metrics of a process, in the Prometheus text format.

#ifndef BLUEBELLSTEP_METRICS_METRICS_H_
#define BLUEBELLSTEP_METRICS_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "base/verdict.h"

namespace bluebellstep {

/**
 * Metrics registry of a process, with the metrics that all kinds of processes share. Request times
 * are recorded for each pair of client account and service class. `text` may be called from any
 * thread, all other functions only on the control thread.
 */
class Metrics {
 public:
  Metrics();

  /** Records the time from the arrival of a request to its first token. */
  void first_token(std::string_view account, std::string_view service_class, Duration elapsed);

  /** Records the time from the arrival of a request to the end of its answer. */
  void request_done(std::string_view account, std::string_view service_class, Duration elapsed);

  /** Counts a request that ended without an answer. */
  void request_refused(std::string_view account,
                       std::string_view service_class,
                       const Verdict& verdict);

  /** Adds `amount` to the counter `name` with the label `kind`, for example
   * ("bluebellstep_blocks_total", "recomputed"). */
  void count(const std::string& name, const std::string& kind, double amount = 1);

  /** Sets the gauge `name` to `value`. */
  void set(const std::string& name, double value);

  /** Returns all metrics in the Prometheus text format. */
  std::string text() const;

 private:
  using Labels = std::map<std::string, std::string>;
  using AccountClass = std::pair<std::string, std::string>;

  /** Returns the histogram of an account and service class from `cache`, after adding it to
   * `family` and `cache` if it is new. */
  prometheus::Histogram& histogram(prometheus::Family<prometheus::Histogram>& family,
                                   std::map<AccountClass, prometheus::Histogram*>& cache,
                                   std::string_view account,
                                   std::string_view service_class);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& first_token_family_;
  prometheus::Family<prometheus::Histogram>& request_family_;
  prometheus::Family<prometheus::Counter>& refused_family_;
  std::map<AccountClass, prometheus::Histogram*> first_token_histograms_;
  std::map<AccountClass, prometheus::Histogram*> request_histograms_;
  std::map<std::pair<std::string, std::string>, prometheus::Counter*> counters_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_METRICS_METRICS_H_
