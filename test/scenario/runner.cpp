/// \file
/// Runs one scenario: a Lua script with verbs over real processes.
/// Use: runner --bin FOLDER --run FOLDER --seed N SCRIPT
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
        add_verbs(lua, state);
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
