/// \file
/// Defines the conversion of values between Lua and JSON.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

struct lua_State;

namespace eelgrassdoor::scenario {

/// Returns the string argument at stack position \p index; raises a Lua error when the value there
/// is neither a string nor a number.
std::string string_argument(lua_State* lua, int index);
/// Pushes \p value onto the Lua stack. Null becomes nil.
void push_json(lua_State* lua, const nlohmann::json& value);
/// Converts the Lua value at stack position \p index. A table with a first element becomes an
/// array, an empty one too; any other table an object, whose keys have to be strings. Values
/// without a JSON counterpart become null.
nlohmann::json to_json(lua_State* lua, int index);

} // namespace eelgrassdoor::scenario
