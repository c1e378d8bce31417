// Command line of the stand-ins for the systems around the product.

#include <CLI/CLI.hpp>

#include "base/log_event.h"

int main(int argc, char** argv) {
  bluebellstep::start_logging(argv[0]);
  CLI::App app("bluebellstep-standins: stand-ins for the systems around bluebellstep");
  app.require_subcommand(1);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
