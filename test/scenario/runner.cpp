/// \file
/// Runs one scenario: a Lua script that starts and controls real processes.
/// Usage: scenario_runner --bin DIRECTORY [--run DIRECTORY] [--seed N] SCRIPT
/// The run directory is erased first. Exits with 0 when the scenario passes and 1 when it fails.
#include "runner_bindings.hpp"

#include <lua.hpp>

#include <cstdio>
#include <filesystem>
#include <string>

int main(int argc, char** argv) {
    using namespace eelgrassdoor::scenario;
    runner_options options;
    for (int i = 1; i < argc; ++i) {
        const std::string word = argv[i];
        if (word == "--bin" && i + 1 < argc) {
            options.program_dir = argv[++i];
        } else if (word == "--run" && i + 1 < argc) {
            options.run_dir = argv[++i];
        } else if (word == "--seed" && i + 1 < argc) {
            options.seed = std::stoull(argv[++i]);
        } else {
            options.script = word;
        }
    }
    std::filesystem::remove_all(options.run_dir);
    std::filesystem::create_directories(options.run_dir);
    std::printf("scenario %s seed %llu\n", options.script.c_str(),
                static_cast<unsigned long long>(options.seed));
    std::fflush(stdout);
    lua_State* lua = luaL_newstate();
    luaL_openlibs(lua);
    int status = 0;
    {
        runner_state state(options);
        register_bindings(lua, state);
        if (luaL_dofile(lua, options.script.c_str()) != LUA_OK) {
            std::printf("FAILED: %s\n", lua_tostring(lua, -1));
            status = 1;
        } else {
            std::printf("passed\n");
        }
    }
    lua_close(lua);
    return status;
}
