// Metrics implemented with prometheus-cpp.

#include "metrics/metrics.h"

#include <prometheus/text_serializer.h>

namespace bluebellstep {
namespace {

// Upper bounds of the histogram buckets in seconds. They include the targets of 57 ms between
// tokens and 1.2 s to the first token, so that the share of requests within a target can be read
// directly.
const prometheus::Histogram::BucketBoundaries kLatencyBucketBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.057, 0.1, 0.25, 0.5, 0.8, 1.2, 2.5, 5, 10, 30, 60, 120};

double to_seconds(Duration span) {
  return static_cast<double>(span.ms) / 1000;
}

}  // namespace

Metrics::Metrics()
    : first_token_family_(prometheus::BuildHistogram()
                              .Name("bluebellstep_first_token_seconds")
                              .Help("Time from arrival to the first token")
                              .Register(registry_)),
      request_family_(prometheus::BuildHistogram()
                          .Name("bluebellstep_request_seconds")
                          .Help("Time from arrival to the end of the answer")
                          .Register(registry_)),
      refused_family_(prometheus::BuildCounter()
                          .Name("bluebellstep_refused_total")
                          .Help("Requests that ended without an answer")
                          .Register(registry_)) {}

prometheus::Histogram& Metrics::histogram(prometheus::Family<prometheus::Histogram>& family,
                                          std::map<AccountClass, prometheus::Histogram*>& cache,
                                          std::string_view account,
                                          std::string_view service_class) {
  AccountClass key(account, service_class);
  const auto found = cache.find(key);
  if (found != cache.end()) {
    return *found->second;
  }
  prometheus::Histogram& added =
      family.Add(Labels{{"account", key.first}, {"class", key.second}}, kLatencyBucketBounds);
  cache.emplace(std::move(key), &added);
  return added;
}

void Metrics::first_token(std::string_view account,
                          std::string_view service_class,
                          Duration elapsed) {
  histogram(first_token_family_, first_token_histograms_, account, service_class)
      .Observe(to_seconds(elapsed));
}

void Metrics::request_done(std::string_view account,
                           std::string_view service_class,
                           Duration elapsed) {
  histogram(request_family_, request_histograms_, account, service_class)
      .Observe(to_seconds(elapsed));
}

void Metrics::request_refused(std::string_view account,
                              std::string_view service_class,
                              const Verdict& verdict) {
  refused_family_
      .Add(Labels{{"account", std::string(account)},
                  {"class", std::string(service_class)},
                  {"run_state", std::string(to_string(verdict.run_state()))},
                  {"reason", std::string(to_string(verdict.reason()))}})
      .Increment();
}

void Metrics::count(const std::string& name, const std::string& kind, double amount) {
  prometheus::Counter*& counter = counters_[{name, kind}];
  if (counter == nullptr) {
    counter = &prometheus::BuildCounter().Name(name).Register(registry_).Add({{"kind", kind}});
  }
  counter->Increment(amount);
}

void Metrics::set(const std::string& name, double value) {
  prometheus::Gauge*& gauge = gauges_[name];
  if (gauge == nullptr) {
    gauge = &prometheus::BuildGauge().Name(name).Register(registry_).Add({});
  }
  gauge->Set(value);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace bluebellstep
