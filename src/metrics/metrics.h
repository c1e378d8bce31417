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
 * Registry of a process with the metrics that both roles have. Histograms are kept for each pair of
 * client account and service class. `text` may be called from any thread, the rest on the control
 * thread.
 */
class Metrics {
 public:
  Metrics();

  /** Time from the arrival of a request to its first token. */
  void first_token(std::string_view account, std::string_view service_class, Duration elapsed);

  /** Time from the arrival of a request to its end. */
  void request_done(std::string_view account, std::string_view service_class, Duration elapsed);

  /** A request ended without an answer. */
  void request_refused(std::string_view account,
                       std::string_view service_class,
                       const Verdict& verdict);

  /** Counts `amount` under `name` with the label `kind`, for example ("bluebellstep_blocks_total",
   * "recomputed"). */
  void count(const std::string& name, const std::string& kind, double amount = 1);

  /** Sets the gauge `name`. */
  void set(const std::string& name, double value);

  /** All metrics in the Prometheus text format. */
  std::string text() const;

 private:
  using Labels = std::map<std::string, std::string>;
  using AccountClass = std::pair<std::string, std::string>;

  prometheus::Histogram& histogram(prometheus::Family<prometheus::Histogram>& family,
                                   std::map<AccountClass, prometheus::Histogram*>& cache,
                                   std::string_view account,
                                   std::string_view service_class);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Histogram>& first_token_family_;
  prometheus::Family<prometheus::Histogram>& request_family_;
  prometheus::Family<prometheus::Counter>& refused_family_;
  std::map<AccountClass, prometheus::Histogram*> first_token_;
  std::map<AccountClass, prometheus::Histogram*> request_;
  std::map<std::pair<std::string, std::string>, prometheus::Counter*> counters_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_METRICS_METRICS_H_
