// Listen options and signal handling that all stand-in processes have in common.

#ifndef BLUEBELLSTEP_STANDINS_STANDIN_PROCESS_H_
#define BLUEBELLSTEP_STANDINS_STANDIN_PROCESS_H_

#include <CLI/CLI.hpp>
#include <cstdint>

#include "http/http_types.h"

namespace bluebellstep {

/** Adds `--ip` and `--port` to a subcommand; port 0 selects any free port. Parsing writes to
 * `listen`, which must outlive `command`. */
void add_listen_options(CLI::App& command, Endpoint& listen);

/**
 * Prints `listening port=N` to standard output and returns when the process receives SIGTERM or
 * SIGINT. `block_stop_signals` must have been called before the first thread was started.
 */
void serve_until_stopped(std::uint16_t port);

/** Blocks SIGTERM and SIGINT in the calling thread and the threads that it starts afterwards, so
 * that only `serve_until_stopped` receives them. */
void block_stop_signals();

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_STANDIN_PROCESS_H_
