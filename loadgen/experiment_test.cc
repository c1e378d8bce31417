// Tests of the experiment parser.

#include "loadgen/experiment.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include "settings/settings_reader.h"

namespace bluebellstep::loadgen {
namespace {

const std::string kExperiment =
    "seed: 7\n"
    "duration: 10s\n"
    "model: manual\n"
    "accounts:\n"
    "  - {name: a, token: t, requests_per_s: 2.5, prompt_bytes: 100, answer_tokens: 8}\n";

std::string errors_of(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(parse_experiment("f.yaml", text));
        return std::string();
      },
      [](const SettingsErrors& errors) { return errors.to_string(); },
      [] { return std::string("another error"); });
}

}  // namespace

TEST_CASE("a complete experiment is read", "[loadgen]") {
  const Experiment experiment = parse_experiment("f", kExperiment).value();
  CHECK(experiment.seed == 7);
  CHECK(experiment.duration == 10_s);
  REQUIRE(experiment.accounts.size() == 1);
  CHECK(experiment.accounts[0].requests_per_s == 2.5);
  CHECK(experiment.accounts[0].prompt_bytes == 100);
  CHECK(experiment.accounts[0].order_share == 0);
}

// Guards against a misspelt key that silently leaves its default value in effect.
TEST_CASE("unknown keys of an experiment are errors with their line", "[loadgen]") {
  CHECK_THAT(errors_of(kExperiment + "sed: 8\n"), Catch::Contains("f.yaml:6: sed:"));
}

// Guards against an experiment whose load cannot be generated.
TEST_CASE("wrong values of an experiment are errors with their line", "[loadgen]") {
  const std::string account = "  - {name: b, token: t, prompt_bytes: 1, answer_tokens: 1, ";
  CHECK_THAT(errors_of(kExperiment + account + "requests_per_s: -1}\n"),
             Catch::Contains("f.yaml:6: accounts[1].requests_per_s:"));
  CHECK_THAT(errors_of(kExperiment + account + "requests_per_s: 1, returning_share: 1.5}\n"),
             Catch::Contains("f.yaml:6: accounts[1].returning_share:"));
  CHECK_THAT(errors_of(kExperiment + account + "requests_per_s: 1, order_share: 0.5}\n"),
             Catch::Contains("order_path"));
}

}  // namespace bluebellstep::loadgen
