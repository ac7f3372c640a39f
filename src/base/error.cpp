#include "base/error.hpp"

#include <array>

namespace eelgrassdoor {

namespace {

struct code_entry {
    error_code code;
    std::string_view name;
    int status;
};

constexpr std::array<code_entry, 14> code_table{{
    {error_code::invalid_request, "invalid_request", 400},
    {error_code::unauthorized, "unauthorized", 401},
    {error_code::forbidden, "forbidden", 403},
    {error_code::not_found, "not_found", 404},
    {error_code::conflict, "conflict", 409},
    {error_code::in_progress, "in_progress", 409},
    {error_code::too_large, "too_large", 413},
    {error_code::rate_limited, "rate_limited", 429},
    {error_code::overloaded, "overloaded", 503},
    {error_code::deadline_exceeded, "deadline_exceeded", 504},
    {error_code::target_failed, "target_failed", 502},
    {error_code::unavailable, "unavailable", 503},
    {error_code::outcome_unknown, "outcome_unknown", 502},
    {error_code::internal, "internal", 500},
}};

const code_entry& find_code_entry(error_code code) {
    for (const code_entry& entry : code_table) {
        if (entry.code == code) {
            return entry;
        }
    }
    return code_table.back();
}

} // namespace

std::string_view to_string(error_code code) {
    return find_code_entry(code).name;
}

std::string_view to_string(run_state run) {
    switch (run) {
    case run_state::not_run:
        return "not_run";
    case run_state::unknown:
        return "unknown";
    case run_state::ran:
        return "ran";
    }
    return "unknown";
}

int http_status(error_code code) {
    return find_code_entry(code).status;
}

} // namespace eelgrassdoor
