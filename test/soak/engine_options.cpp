#include "soak/engine_options.hpp"

#include "base/text.hpp"

#include <map>

namespace eelgrassdoor::test {

std::vector<std::string> make_arguments(const engine_options& options) {
    const engine_behaviour& behaviour = options.behaviour;
    return {str_cat("id=", options.id),
            str_cat("version=", options.version),
            str_cat("endpoint=", options.endpoint),
            str_cat("request_log=", options.request_log),
            str_cat("started_at=", options.started_at),
            str_cat("seed=", options.seed),
            str_cat("trouble=", options.trouble ? 1 : 0),
            str_cat("pause_ms=", behaviour.pause_ms),
            str_cat("pause_interval=", behaviour.pause_interval),
            str_cat("unframed_interval=", behaviour.unframed_interval)};
}

std::optional<engine_options> parse_engine_options(std::span<char* const> arguments) {
    engine_options out;
    int trouble = 0;
    const std::map<std::string_view, std::string*> texts{{"id", &out.id},
                                                         {"version", &out.version},
                                                         {"endpoint", &out.endpoint},
                                                         {"request_log", &out.request_log}};
    const std::map<std::string_view, std::uint64_t*> numbers{
        {"started_at", &out.started_at},
        {"seed", &out.seed},
        {"pause_ms", &out.behaviour.pause_ms},
        {"pause_interval", &out.behaviour.pause_interval},
        {"unframed_interval", &out.behaviour.unframed_interval}};
    for (const std::string_view argument : arguments) {
        const std::size_t mark = argument.find('=');
        const std::string_view name = argument.substr(0, mark);
        const std::string_view value =
            mark == std::string_view::npos ? "" : argument.substr(mark + 1);
        const auto text = texts.find(name);
        const auto number = numbers.find(name);
        if (text != texts.end()) {
            *text->second = std::string(value);
        } else if (number != numbers.end() ? !parse_int(value, *number->second)
                                           : name != "trouble" || !parse_int(value, trouble)) {
            return std::nullopt;
        }
    }
    out.trouble = trouble != 0;
    const bool complete = !out.id.empty() && !out.endpoint.empty() && !out.request_log.empty();
    return complete ? std::optional(out) : std::nullopt;
}

} // namespace eelgrassdoor::test
