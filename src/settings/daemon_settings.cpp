#include "settings/daemon_settings.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <boost/program_options.hpp>

#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <string_view>

namespace eelgrassdoor::settings {

namespace {

namespace po = boost::program_options;

constexpr std::string_view environment_prefix = "EELGRASSDOOR_";
constexpr std::size_t min_secret_length = 16;
/// Holds the largest body, of a peer's bulk message.
constexpr int min_body_memory_mib = 66;

/// Name, help text, check and storage of one setting.
struct setting {
    std::string_view name;
    std::string_view help;
    bool required;
    /// Stores a valid value; otherwise returns a description of the accepted values.
    std::function<std::optional<std::string>(daemon_settings&, const std::string&)> store;
};

/// Returns a function that stores a string of at least \p min_length bytes in \p member.
auto text_setter(std::string daemon_settings::*member, std::size_t min_length = 0) {
    return [member, min_length](daemon_settings& s,
                                const std::string& v) -> std::optional<std::string> {
        if (v.size() < min_length) {
            return str_cat("at least ", min_length, " characters");
        }
        s.*member = v;
        return std::nullopt;
    };
}

/// Returns a function that stores an integer from \p min to \p max in \p member.
template <typename T> auto number_setter(T daemon_settings::*member, int min, int max) {
    return
        [member, min, max](daemon_settings& s, const std::string& v) -> std::optional<std::string> {
            int value = 0;
            if (!parse_int(v, value) || value < min || value > max) {
                return str_cat("a whole number from ", min, " to ", max);
            }
            s.*member = T(value);
            return std::nullopt;
        };
}

std::optional<std::string> store_url(daemon_settings& s, const std::string& v) {
    if (!v.starts_with("http://")) {
        return "a URL of the form http://ADDRESS:PORT";
    }
    s.platform_url = v;
    return std::nullopt;
}

std::optional<std::string> store_seed_peers(daemon_settings& s, const std::string& v) {
    for (const std::string_view peer : split(v, ',')) {
        if (!contains(peer, ":")) {
            return "a list of the form ADDRESS:PORT,ADDRESS:PORT";
        }
        s.seed_peers.emplace_back(peer);
    }
    return std::nullopt;
}

std::optional<std::string> store_severity(daemon_settings& s, const std::string& v) {
    if (v != "info" && v != "warning" && v != "error") {
        return "info, warning or error";
    }
    s.log_severity = v;
    return std::nullopt;
}

std::optional<std::string> store_operator_key(daemon_settings& s, const std::string& v) {
    if (v.size() < min_secret_length) {
        return str_cat("at least ", min_secret_length, " characters");
    }
    s.operator_key_digest = sha256_hex(v);
    return std::nullopt;
}

const std::vector<setting>& all_settings() {
    using d = daemon_settings;
    static const std::vector<setting> list{
        {"host", "name of this host in the host list", true, text_setter(&d::host, 1)},
        {"availability-zone", "availability zone of this host", true,
         text_setter(&d::availability_zone, 1)},
        {"address", "IP address to listen on (default 127.0.0.1)", false,
         text_setter(&d::address, 1)},
        {"http-port", "TCP port for callers, operators and probes", true,
         number_setter(&d::http_port, 1, 65535)},
        {"peer-port", "UDP and TCP port for other daemons", true,
         number_setter(&d::peer_port, 1, 65535)},
        {"platform-url", "base URL of the key-value service", true, store_url},
        {"seed-peers",
         "comma-separated peers ADDRESS:PORT to contact when the platform is unreachable at "
         "startup",
         false, store_seed_peers},
        {"peer-secret", "secret shared by all daemons, at least 16 characters", true,
         text_setter(&d::peer_secret, min_secret_length)},
        {"operator-key",
         "key of the administration API, at least 16 characters; prefer the environment variable",
         true, store_operator_key},
        {"data-dir", "directory for batch data; without it the host stores none", false,
         text_setter(&d::data_dir)},
        {"timeline", "timeline file to append to, in JSON Lines format", false,
         text_setter(&d::timeline_path)},
        {"drop-list", "file that lists peers whose messages are dropped (tests only)", false,
         text_setter(&d::drop_list_path)},
        {"log-severity", "minimum severity to log: info, warning or error (default warning)", false,
         store_severity},
        {"gossip-interval-ms", "interval between gossip rounds in ms (default 500)", false,
         number_setter(&d::gossip_interval, 20, 10'000)},
        {"drain-ms",
         "time in ms for which the daemon keeps listening after shutdown begins (default 10000)",
         false, number_setter(&d::drain_time, 0, 600'000)},
        {"max-callers", "maximum number of concurrent caller connections (default 512)", false,
         number_setter(&d::max_callers, 8, 20'000)},
        {"body-memory-mib",
         "memory in MiB for request bodies, of all ports together (default 1024)", false,
         number_setter(&d::body_memory_mib, min_body_memory_mib, 1'000'000)},
        {"kv-calls-per-second", "limit on calls per second to the key-value service (default 20)",
         false, number_setter(&d::kv_calls_per_second, 1, 1'000)},
    };
    return list;
}

po::options_description make_option_description() {
    po::options_description description("eelgrassdoord settings (flag --NAME or environment "
                                        "EELGRASSDOOR_NAME)");
    description.add_options()("help", "print this help")("version", "print the version");
    for (const setting& s : all_settings()) {
        description.add_options()(std::string(s.name).c_str(), po::value<std::string>(),
                                  std::string(s.help).c_str());
    }
    return description;
}

/// Returns the environment variable of a setting: http-port becomes EELGRASSDOOR_HTTP_PORT.
std::string variable_name(std::string_view setting_name) {
    std::string name(environment_prefix);
    for (const char c : setting_name) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

/// A value as given, and the flag or environment variable it came from.
struct sourced_value {
    std::string source;
    std::string value;
};

/// Returns the value of the setting \p name; a flag takes precedence over the environment.
std::optional<sourced_value> lookup(const po::variables_map& flags,
                                    const std::map<std::string, std::string>& environment,
                                    std::string_view name) {
    const std::string flag(name);
    if (flags.count(flag) != 0) {
        return sourced_value{str_cat("flag --", name), flags[flag].as<std::string>()};
    }
    const auto found = environment.find(variable_name(name));
    if (found != environment.end()) {
        return sourced_value{str_cat("environment ", found->first), found->second};
    }
    return std::nullopt;
}

/// Returns the variables with the prefix of the daemon's settings by name.
std::map<std::string, std::string> environment_map(std::span<const std::string> entries) {
    std::map<std::string, std::string> out;
    for (const std::string& entry : entries) {
        const std::size_t equals = entry.find('=');
        if (entry.starts_with(environment_prefix) && equals != std::string::npos) {
            out[entry.substr(0, equals)] = entry.substr(equals + 1);
        }
    }
    return out;
}

/// Adds findings for flags and environment variables that belong to no setting.
void report_unknown(const std::vector<std::string>& flags,
                    const std::map<std::string, std::string>& environment,
                    std::vector<finding>& findings) {
    for (const std::string& flag : flags) {
        findings.push_back({"flag " + flag, "unknown setting; see --help"});
    }
    for (const auto& [name, value] : environment) {
        bool known = false;
        for (const setting& s : all_settings()) {
            known = known || variable_name(s.name) == name;
        }
        if (!known) {
            findings.push_back({"environment " + name, "unknown setting; see --help"});
        }
    }
}

} // namespace

parse_outcome parse_daemon_settings(std::span<const std::string> arguments,
                                    std::span<const std::string> environment) {
    const po::options_description description = make_option_description();
    po::variables_map flags;
    std::vector<finding> findings;
    const std::map<std::string, std::string> variables = environment_map(environment);
    try {
        const po::parsed_options parsed =
            po::command_line_parser(std::vector<std::string>(arguments.begin(), arguments.end()))
                .options(description)
                .allow_unregistered()
                .run();
        po::store(parsed, flags);
        report_unknown(po::collect_unrecognized(parsed.options, po::include_positional), variables,
                       findings);
    } catch (const po::error& e) {
        findings.push_back({"command line", e.what()});
    }
    if (flags.count("help") != 0) {
        std::ostringstream text;
        text << description;
        return information_request{text.str()};
    }
    if (flags.count("version") != 0) {
        return information_request{"eelgrassdoord " EELGRASSDOOR_VERSION "\n"};
    }
    daemon_settings out;
    for (const setting& s : all_settings()) {
        const std::optional<sourced_value> given = lookup(flags, variables, s.name);
        if (!given) {
            if (s.required) {
                findings.push_back({str_cat("flag --", s.name), str_cat("is required: ", s.help)});
            }
            continue;
        }
        if (const auto range = s.store(out, given->value)) {
            findings.push_back({given->source, str_cat("invalid value: expected ", *range)});
        }
    }
    if (!findings.empty()) {
        return findings;
    }
    return out;
}

} // namespace eelgrassdoor::settings
