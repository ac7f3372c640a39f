/// \file
/// Defines the native functions that scenarios call; test/scenario/lib.lua builds on them.
#pragma once

#include "runner_process.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <thread>

struct lua_State;

namespace eelgrassdoor::scenario {

/// Command-line options of the runner.
struct runner_options {
    /// Build directory with the programs that scenarios start.
    std::string program_dir;
    /// Directory for logs, timelines and data of this run.
    std::string run_dir = "run";
    std::string script;
    /// Returned by seed() in scripts, for choices that vary from run to run.
    std::uint64_t seed = 1;
};

/// An HTTP request that runs on a thread of its own, concurrently with the script.
struct background_request;

/// Resources of a running scenario. The destructor kills its processes and closes its connections.
struct runner_state {
    explicit runner_state(runner_options o);
    ~runner_state();

    runner_options options;
    process_table processes;
    std::deque<std::unique_ptr<background_request>> background;
    /// Sockets opened by open_idle_connection().
    std::vector<int> held_connections;
};

/// Registers the native functions as globals of \p lua, and `script_dir`, the script's directory.
/// \p state has to outlive the calls.
void register_bindings(lua_State* lua, runner_state& state);

} // namespace eelgrassdoor::scenario
