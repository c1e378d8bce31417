// Settings of one load experiment.

#ifndef BLUEBELLSTEP_LOADGEN_EXPERIMENT_H_
#define BLUEBELLSTEP_LOADGEN_EXPERIMENT_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace bluebellstep::loadgen {

/** Load that one client account generates. */
struct AccountLoad {
  std::string name;
  std::string token;  // Bearer token.
  double requests_per_s = 0;
  std::uint32_t prompt_bytes = 0;
  std::uint32_t answer_tokens = 0;
  double returning_share = 0;  // Share of prompts that equal an earlier one of the account.
  double order_share = 0;      // Share of requests that are orders.
};

/** Settings of one load experiment. */
struct Experiment {
  std::uint64_t seed = 1;
  Duration duration;  // Requests are sent during this time.
  std::string model;
  std::string order_path;  // Path of orders, sent by POST. Required if any account sends orders.
  std::vector<AccountLoad> accounts;
};

/** Parses and checks an experiment. `file` is the file name for errors. Fails with
 * `SettingsErrors`. */
boost::leaf::result<Experiment> parse_experiment(std::string_view file, std::string_view text);

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_EXPERIMENT_H_
