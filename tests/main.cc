// Entry point of the test binary.

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "base/log_event.h"

int main(int argc, char** argv) {
  bluebellstep::start_logging(argv[0]);
  return Catch::Session().run(argc, argv);
}
