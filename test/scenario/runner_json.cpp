#include "runner_json.hpp"

#include <lua.hpp>

namespace eelgrassdoor::scenario {

using nlohmann::json;

std::string string_argument(lua_State* lua, int index) {
    std::size_t size = 0;
    const char* data = luaL_checklstring(lua, index, &size);
    return {data, size};
}

void push_json(lua_State* lua, const json& value) {
    if (value.is_object()) {
        lua_newtable(lua);
        for (const auto& [name, item] : value.items()) {
            push_json(lua, item);
            lua_setfield(lua, -2, name.c_str());
        }
    } else if (value.is_array()) {
        lua_newtable(lua);
        for (std::size_t i = 0; i < value.size(); ++i) {
            push_json(lua, value[i]);
            lua_rawseti(lua, -2, static_cast<lua_Integer>(i + 1));
        }
    } else if (value.is_string()) {
        const auto& text = value.get_ref<const std::string&>();
        lua_pushlstring(lua, text.data(), text.size());
    } else if (value.is_boolean()) {
        lua_pushboolean(lua, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        lua_pushinteger(lua, value.get<lua_Integer>());
    } else if (value.is_number()) {
        lua_pushnumber(lua, value.get<double>());
    } else {
        lua_pushnil(lua);
    }
}

json to_json(lua_State* lua, int index) {
    index = lua_absindex(lua, index);
    switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
        return lua_isinteger(lua, index) != 0 ? json(lua_tointeger(lua, index))
                                              : json(lua_tonumber(lua, index));
    case LUA_TSTRING:
        return string_argument(lua, index);
    case LUA_TTABLE: {
        if (lua_rawlen(lua, index) > 0) {
            json list = json::array();
            for (std::size_t i = 1; i <= lua_rawlen(lua, index); ++i) {
                lua_rawgeti(lua, index, static_cast<lua_Integer>(i));
                list.push_back(to_json(lua, -1));
                lua_pop(lua, 1);
            }
            return list;
        }
        // An empty table becomes an empty array.
        json object = json::array();
        lua_pushnil(lua);
        while (lua_next(lua, index) != 0) {
            if (object.is_array()) {
                object = json::object();
            }
            object[string_argument(lua, -2)] = to_json(lua, -1);
            lua_pop(lua, 1);
        }
        return object;
    }
    default:
        return nullptr;
    }
}

} // namespace eelgrassdoor::scenario
