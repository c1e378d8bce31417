// Tests of the command line options of the engine and store stand-ins.

#include "standins/engine_store_options.h"

#include <catch2/catch.hpp>

namespace bluebellstep::standins {

// Guards against an option that is accepted on the command line but has no effect.
TEST_CASE("stand-in options are read from the command line", "[standins]") {
  CLI::App app;
  EngineOptions engine;
  StoreOptions store;
  add_engine_options(*app.add_subcommand("engine"), engine);
  add_store_options(*app.add_subcommand("store"), store);
  app.parse(
      "engine --model a=1 --model b=2 --max-running 4 --starts-warm --ignore-fencing-numbers "
      "--load-lag-ms 5");
  CHECK(engine.models == std::map<std::string, std::string>{{"a", "1"}, {"b", "2"}});
  CHECK(engine.max_running == 4);
  CHECK(engine.starts_warm);
  CHECK_FALSE(engine.checks_fencing_numbers);
  CHECK(engine.load_lag == 5_ms);
  app.parse("store --disk-bytes 10 --memory-link-bytes-per-s 20");
  CHECK(store.disk.limit_bytes == 10);
  CHECK(store.memory.link_bytes_per_s == 20);
  CHECK_THROWS_AS(app.parse("engine --model a"), CLI::ParseError);
  CHECK_THROWS_AS(app.parse("engine --prefill-tokens-per-s 0"), CLI::ParseError);
}

}  // namespace bluebellstep::standins
