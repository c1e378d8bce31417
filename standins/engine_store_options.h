// Command line options of the model engine and cache store stand-ins.

#ifndef BLUEBELLSTEP_STANDINS_ENGINE_STORE_OPTIONS_H_
#define BLUEBELLSTEP_STANDINS_ENGINE_STORE_OPTIONS_H_

#include <CLI/CLI.hpp>

#include "standins/engine_types.h"
#include "standins/store_model.h"

namespace bluebellstep::standins {

/** Adds the options of the model engine to `command`. Parsing writes to `options`, which must
 * outlive `command`. */
void add_engine_options(CLI::App& command, EngineOptions& options);

/** Adds the options of the cache store to `command`. Parsing writes to `options`, which must
 * outlive `command`. */
void add_store_options(CLI::App& command, StoreOptions& options);

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_ENGINE_STORE_OPTIONS_H_
