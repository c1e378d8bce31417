// HTTP handler, rate limit and subcommand of the weight store stand-in.

#include "standins/weights_standin.h"

#include <algorithm>
#include <cmath>
#include <memory>

#include "standins/standin_process.h"

namespace bluebellstep {

WeightsStandin::WeightsStandin(HttpLoop& loop, const WeightsStandinOptions& options)
    : options_(options), bucket_tokens_(options.burst), refilled_at_(clock_.now()), server_(loop) {
  server_.route("GET", "/weights/{}/{}", [this](const StandinRequest& r) { serve_weights(r); });
  server_.start({.listen = options.listen});
}

void WeightsStandin::serve_weights(const StandinRequest& request) {
  const Instant now = clock_.now();
  const double refill =
      static_cast<double>((now - refilled_at_).ms) * options_.requests_per_s / 1000;
  bucket_tokens_ = std::min(options_.burst, bucket_tokens_ + refill);
  refilled_at_ = now;
  if (bucket_tokens_ < 1) {
    server_.count("rate_limited");
    const auto wait_s =
        static_cast<std::int64_t>(std::ceil((1 - bucket_tokens_) / options_.requests_per_s));
    server_.http().respond(request.exchange, 429, {{"retry-after", std::to_string(wait_s)}}, "");
    return;
  }
  bucket_tokens_ -= 1;
  server_.count("served");
  const std::string seed = request.captures.at(0) + "/" + request.captures.at(1) + ";";
  std::string weights;
  weights.reserve(options_.weight_bytes + seed.size());
  while (weights.size() < options_.weight_bytes) {
    weights += seed;
  }
  weights.resize(options_.weight_bytes);
  server_.http().respond(request.exchange, 200, {{"content-type", "application/octet-stream"}},
                         std::move(weights));
}

void add_weights_command(CLI::App& app) {
  CLI::App* command = app.add_subcommand("weights", "rate-limited weight store");
  const auto options = std::make_shared<WeightsStandinOptions>();
  add_listen_options(*command, options->listen);
  command->add_option("--requests-per-s", options->requests_per_s, "rate limit in requests/s")
      ->check(CLI::PositiveNumber);
  command->add_option("--burst", options->burst, "requests accepted at once after an idle period")
      ->check(CLI::PositiveNumber);
  command->add_option("--weight-bytes", options->weight_bytes, "size of the weights in bytes");
  command->callback([options] {
    HttpLoop loop;
    const WeightsStandin standin(loop, *options);
    serve_until_stopped(standin.port());
  });
}

}  // namespace bluebellstep
