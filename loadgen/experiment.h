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

/** Load of one client account. */
struct AccountLoad {
  std::string name;
  std::string token;
  double requests_per_s = 0;
  std::uint32_t prompt_bytes = 0;
  std::uint32_t answer_tokens = 0;
  double returning_share = 0;  // Share of prompts that repeat an earlier one of the account.
  double order_share = 0;      // Share of requests that are orders.
};

/** One experiment. */
struct Experiment {
  std::uint64_t seed = 1;
  Duration duration;
  std::string model;
  std::string order_path;  // Of `POST` for orders; needed if any account sends orders.
  std::vector<AccountLoad> accounts;
};

/** Reads and checks an experiment; `file` is the name to use in errors. Fails with
 * `SettingsErrors`. */
boost::leaf::result<Experiment> parse_experiment(std::string_view file, std::string_view text);

}  // namespace bluebellstep::loadgen

#endif  // BLUEBELLSTEP_LOADGEN_EXPERIMENT_H_
