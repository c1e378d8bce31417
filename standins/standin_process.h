// Options that all stand-ins have.

#ifndef BLUEBELLSTEP_STANDINS_STANDIN_PROCESS_H_
#define BLUEBELLSTEP_STANDINS_STANDIN_PROCESS_H_

#include <CLI/CLI.hpp>
#include <cstdint>

#include "http/http_types.h"

namespace bluebellstep {

/** Adds `--ip` and `--port` (0 takes any free port) to a subcommand. */
void add_listen_options(CLI::App& command, Endpoint& listen);

/**
 * Prints `listening port=N` to standard output and returns when SIGTERM or SIGINT arrives. Call
 * `block_stop_signals` before any thread is started.
 */
void serve_until_stopped(std::uint16_t port);

/** Blocks the signals that `serve_until_stopped` waits for. */
void block_stop_signals();

}  // namespace bluebellstep

#endif  // BLUEBELLSTEP_STANDINS_STANDIN_PROCESS_H_
