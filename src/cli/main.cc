// Command line of the product.

#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
  CLI::App app("bluebellstep: serving system for prompts that return after long gaps");
  app.set_version_flag("--version", std::string("bluebellstep ") + BLUEBELLSTEP_VERSION);
  app.require_subcommand(0, 1);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
