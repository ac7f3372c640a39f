/// \file
/// Defines the verbs that scenarios are written in. The library test/scenario/lib.lua builds the
/// words of the test language on them.
#pragma once

#include "runner_process.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <thread>

struct lua_State;

namespace eelgrassdoor::scenario {

/// How the runner was called.
struct runner_options {
    std::string program_dir;
    std::string run_dir = "run";
    std::string script;
    std::uint64_t seed = 1;
};

/// A request that runs beside the script.
struct background_request;

/// What a running scenario has.
struct runner_state {
    explicit runner_state(runner_options o);
    ~runner_state();

    runner_options options;
    process_table processes;
    std::deque<std::unique_ptr<background_request>> background;
    std::vector<int> held_sockets;
};

/// Makes the verbs known to \p lua.
void add_verbs(lua_State* lua, runner_state& state);

} // namespace eelgrassdoor::scenario
