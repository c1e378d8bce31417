// Reads an experiment with the settings reader of the product, whose errors contain line numbers.

#include "loadgen/experiment.h"

#include <boost/leaf/error.hpp>

#include "settings/settings_reader.h"

namespace bluebellstep::loadgen {
namespace {

void read_share(SettingsReader::Section& section, std::string_view key, double& out) {
  section.read(key, out, Presence::kOptional);
  if (out < 0 || out > 1) {
    section.add_error(key, "a share from 0 to 1");
  }
}

AccountLoad read_account(SettingsReader::Section& section) {
  AccountLoad account;
  section.read("name", account.name);
  section.read("token", account.token);
  section.read("requests_per_s", account.requests_per_s);
  if (account.requests_per_s < 0 || account.requests_per_s > 1e6) {
    section.add_error("requests_per_s", "a rate from 0 to 1000000");
  }
  section.read("prompt_bytes", account.prompt_bytes, Presence::kRequired, {1, 4u << 20});
  section.read("answer_tokens", account.answer_tokens, Presence::kRequired, {1, 65536});
  read_share(section, "returning_share", account.returning_share);
  read_share(section, "order_share", account.order_share);
  return account;
}

}  // namespace

boost::leaf::result<Experiment> parse_experiment(std::string_view file, std::string_view text) {
  SettingsReader reader(file, text);
  SettingsReader::Section root = reader.root();
  Experiment experiment;
  root.read("seed", experiment.seed);
  root.read("duration", experiment.duration);
  root.read("model", experiment.model);
  root.read("order_path", experiment.order_path, Presence::kOptional);
  for (SettingsReader::Section& section : root.sections("accounts")) {
    experiment.accounts.push_back(read_account(section));
    if (experiment.accounts.back().order_share > 0 && experiment.order_path.empty()) {
      section.add_error("order_share", "0, or order_path in the document");
    }
  }
  SettingsErrors errors = reader.finish();
  if (!errors.errors.empty()) {
    return boost::leaf::new_error(std::move(errors));
  }
  return experiment;
}

}  // namespace bluebellstep::loadgen
