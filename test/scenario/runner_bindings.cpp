#include "runner_bindings.hpp"

#include "runner_json.hpp"

#include <httplib.h>
#include <lua.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace eelgrassdoor::scenario {

/// The state of a request, shared between the script and the request's thread.
struct background_request {
    std::thread thread;
    std::mutex mutex;
    bool done = false;
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
    std::atomic<bool> stop{false};

    ~background_request() {
        stop = true;
        if (thread.joinable()) {
            thread.join();
        }
    }
};

runner_state::runner_state(runner_options o) : options(std::move(o)) {}

runner_state::~runner_state() {
    for (const int s : held_sockets) {
        ::close(s);
    }
}

namespace {

using nlohmann::json;

constexpr int connect_timeout_s = 2;
constexpr int read_timeout_s = 60;

runner_state& state_of(lua_State* lua) {
    return *static_cast<runner_state*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

/// start(name, program, {arguments})
int verb_start(lua_State* lua) {
    runner_state& s = state_of(lua);
    const std::string name = text_at(lua, 1);
    std::vector<std::string> arguments;
    for (const json& a : to_json(lua, 3)) {
        arguments.push_back(a.is_string() ? a.get<std::string>() : a.dump());
    }
    const bool started = s.processes.start(name, s.options.program_dir + "/" + text_at(lua, 2),
                                           arguments, s.options.run_dir + "/" + name + ".log");
    return started ? 0 : luaL_error(lua, "process %s cannot be started", name.c_str());
}

/// signal(name, "TERM"|"KILL"|"STOP"|"CONT")
int verb_signal(lua_State* lua) {
    runner_state& s = state_of(lua);
    const std::string name = text_at(lua, 1);
    const std::string which = text_at(lua, 2);
    if (which == "KILL") {
        s.processes.kill(name);
        return 0;
    }
    const int number = which == "STOP" ? SIGSTOP : which == "CONT" ? SIGCONT : SIGTERM;
    s.processes.signal(name, number);
    return 0;
}

/// ended(name) -> exit status, or nil while it runs
int verb_ended(lua_State* lua) {
    runner_state& s = state_of(lua);
    const std::string name = text_at(lua, 1);
    if (!s.processes.ended(name)) {
        lua_pushnil(lua);
    } else {
        lua_pushinteger(lua, s.processes.exit_status(name));
    }
    return 1;
}

/// What one HTTP request of a script says.
struct script_request {
    std::string address;
    int port = 0;
    std::string method;
    std::string path;
    std::string body;
    httplib::Headers headers;
    std::string type;
    double timeout_s = read_timeout_s;
};

script_request parse_request(const json& in) {
    script_request out;
    const std::string url = in.at("url");
    const std::size_t slash = url.find('/', 7);
    const std::string server = url.substr(7, slash - 7);
    out.address = server.substr(0, server.find(':'));
    out.port = std::stoi(server.substr(server.find(':') + 1));
    out.path = slash == std::string::npos ? "/" : url.substr(slash);
    out.method = in.value("method", "GET");
    out.body = in.value("body", "");
    out.type = in.value("type", "application/json");
    out.timeout_s = in.value("timeout", static_cast<double>(read_timeout_s));
    const json headers = in.value("headers", json::object());
    for (const auto& [name, value] : headers.items()) {
        out.headers.emplace(name, value.get<std::string>());
    }
    return out;
}

/// Runs a request; the body is added to \p r as it comes.
void perform(const script_request& in, background_request& r) {
    httplib::Client client(in.address, in.port);
    client.set_connection_timeout(connect_timeout_s);
    client.set_read_timeout(std::chrono::milliseconds(static_cast<int>(in.timeout_s * 1000)));
    client.set_tcp_nodelay(true);
    httplib::Request request;
    request.method = in.method;
    request.path = in.path;
    request.headers = in.headers;
    request.body = in.body;
    if (in.method != "GET") {
        request.set_header("Content-Type", in.type);
    }
    request.response_handler = [&r](const httplib::Response& response) {
        const std::lock_guard lock(r.mutex);
        r.status = response.status;
        for (const auto& [name, value] : response.headers) {
            r.headers[name] = value;
        }
        return !r.stop;
    };
    request.content_receiver = [&r](const char* data, std::size_t size, std::uint64_t,
                                    std::uint64_t) {
        const std::lock_guard lock(r.mutex);
        r.body.append(data, size);
        return !r.stop;
    };
    const httplib::Result result = client.send(request);
    const std::lock_guard lock(r.mutex);
    if (!result && r.status != 0) {
        r.headers["broken"] = "yes";
    }
    r.done = true;
}

int push_answer(lua_State* lua, background_request& r) {
    const std::lock_guard lock(r.mutex);
    json answer{{"status", r.status}, {"done", r.done}, {"headers", r.headers}};
    push_json(lua, answer);
    lua_pushlstring(lua, r.body.data(), r.body.size());
    lua_setfield(lua, -2, "body");
    return 1;
}

/// http{url=, method=, body=, headers=, timeout=} -> {status=, body=, headers=}
int verb_http(lua_State* lua) {
    background_request r;
    perform(parse_request(to_json(lua, 1)), r);
    return push_answer(lua, r);
}

/// begin(request) -> number of a request that runs beside the script
int verb_begin(lua_State* lua) {
    runner_state& s = state_of(lua);
    const script_request in = parse_request(to_json(lua, 1));
    auto r = std::make_unique<background_request>();
    r->thread = std::thread([in, raw = r.get()] { perform(in, *raw); });
    s.background.push_back(std::move(r));
    lua_pushinteger(lua, static_cast<lua_Integer>(s.background.size()));
    return 1;
}

/// peek(number) -> {status=, body=, done=} of a request that was begun
int verb_peek(lua_State* lua) {
    runner_state& s = state_of(lua);
    return push_answer(lua,
                       *s.background.at(static_cast<std::size_t>(luaL_checkinteger(lua, 1) - 1)));
}

/// json_decode(text) -> value, or nil
int verb_json_decode(lua_State* lua) {
    const json value = json::parse(text_at(lua, 1), nullptr, false);
    push_json(lua, value.is_discarded() ? json() : value);
    return 1;
}

/// json_encode(value) -> text
int verb_json_encode(lua_State* lua) {
    const std::string text = to_json(lua, 1).dump();
    lua_pushlstring(lua, text.data(), text.size());
    return 1;
}

/// write_file(name, text): replaces a file of the run folder in one step
int verb_write_file(lua_State* lua) {
    const std::string path = state_of(lua).options.run_dir + "/" + text_at(lua, 1);
    {
        std::ofstream file(path + ".new", std::ios::binary);
        file << text_at(lua, 2);
    }
    std::filesystem::rename(path + ".new", path);
    lua_pushstring(lua, path.c_str());
    return 1;
}

/// read_file(path) -> text, or nil
int verb_read_file(lua_State* lua) {
    std::ifstream file(text_at(lua, 1), std::ios::binary);
    if (!file) {
        lua_pushnil(lua);
        return 1;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const std::string all = text.str();
    lua_pushlstring(lua, all.data(), all.size());
    return 1;
}

/// free_ports(count) -> list of TCP and UDP ports that nobody uses now
int verb_free_ports(lua_State* lua) {
    const auto count = luaL_checkinteger(lua, 1);
    std::vector<int> sockets;
    json ports = json::array();
    for (lua_Integer i = 0; i < count; ++i) {
        const int s = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        ::bind(s, reinterpret_cast<sockaddr*>(&address), size);
        ::getsockname(s, reinterpret_cast<sockaddr*>(&address), &size);
        ports.push_back(ntohs(address.sin_port));
        sockets.push_back(s);
    }
    for (const int s : sockets) {
        ::close(s);
    }
    push_json(lua, ports);
    return 1;
}

/// now() -> seconds on the monotonic clock
int verb_now(lua_State* lua) {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    lua_pushnumber(lua, std::chrono::duration<double>(now).count());
    return 1;
}

/// wait_step(): lets a short time pass between two looks at a condition
int verb_wait_step(lua_State*) {
    std::this_thread::yield();
    struct timespec step {
        0, 20'000'000
    };
    nanosleep(&step, nullptr);
    return 0;
}

/// run_dir() -> folder of this run; program_dir() -> folder of the programs
int verb_run_dir(lua_State* lua) {
    lua_pushstring(lua, state_of(lua).options.run_dir.c_str());
    return 1;
}

int verb_seed(lua_State* lua) {
    lua_pushinteger(lua, static_cast<lua_Integer>(state_of(lua).options.seed));
    return 1;
}

int verb_pid(lua_State* lua) {
    lua_pushinteger(lua, state_of(lua).processes.pid(text_at(lua, 1)));
    return 1;
}

/// Connects to `url` and sends `text`; returns the socket.
int send_raw(const json& in) {
    const script_request where =
        parse_request(json{{"url", in.at("url").get<std::string>() + "/"}});
    const int s = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
    ::connect(s, reinterpret_cast<sockaddr*>(&address), sizeof address);
    const std::string text = in.at("text");
    (void)::send(s, text.data(), text.size(), MSG_NOSIGNAL);
    return s;
}

/// cut_request{url=, text=}: sends the text and closes the connection
int verb_cut_request(lua_State* lua) {
    ::close(send_raw(to_json(lua, 1)));
    return 0;
}

/// hold_connection{url=, text=}: sends the text and keeps the connection open and idle
int verb_hold_connection(lua_State* lua) {
    state_of(lua).held_sockets.push_back(send_raw(to_json(lua, 1)));
    return 0;
}

} // namespace

void add_verbs(lua_State* lua, runner_state& state) {
    const std::pair<const char*, lua_CFunction> verbs[] = {
        {"start", verb_start},
        {"signal", verb_signal},
        {"ended", verb_ended},
        {"http", verb_http},
        {"begin", verb_begin},
        {"peek", verb_peek},
        {"json_decode", verb_json_decode},
        {"json_encode", verb_json_encode},
        {"write_file", verb_write_file},
        {"read_file", verb_read_file},
        {"free_ports", verb_free_ports},
        {"now", verb_now},
        {"wait_step", verb_wait_step},
        {"run_dir", verb_run_dir},
        {"seed", verb_seed},
        {"pid", verb_pid},
        {"cut_request", verb_cut_request},
        {"hold_connection", verb_hold_connection},
    };
    for (const auto& [name, function] : verbs) {
        lua_pushlightuserdata(lua, &state);
        lua_pushcclosure(lua, function, 1);
        lua_setglobal(lua, name);
    }
    const std::string folder = std::filesystem::path(state.options.script).parent_path().string();
    lua_pushstring(lua, folder.c_str());
    lua_setglobal(lua, "script_dir");
}

} // namespace eelgrassdoor::scenario
