/// \file
/// Defines how values go between Lua and JSON.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

struct lua_State;

namespace eelgrassdoor::scenario {

/// The text argument at \p index; raises a Lua error when there is none.
std::string string_argument(lua_State* lua, int index);
/// Puts a value on Lua's stack.
void push_json(lua_State* lua, const nlohmann::json& value);
/// The value at \p index.
nlohmann::json to_json(lua_State* lua, int index);

} // namespace eelgrassdoor::scenario
