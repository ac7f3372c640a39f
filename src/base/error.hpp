/// \file
/// Defines the typed errors that functions of the library return.
#pragma once

#include "base/clock.hpp"

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace eelgrassdoor {

/// What went wrong. The text form is part of the HTTP interface.
enum class error_code {
    invalid_request,
    unauthorized,
    forbidden,
    not_found,
    conflict,
    /// The same call was sent before and is still being served; its answer can be had later.
    in_progress,
    too_large,
    rate_limited,
    overloaded,
    deadline_exceeded,
    target_failed,
    unavailable,
    outcome_unknown,
    internal,
};

/// Whether a request reached a target: the caller may rely on not_run.
enum class run_state { not_run, unknown, ran };

/// An error with the message for the caller.
struct error {
    error_code code = error_code::internal;
    std::string message;
    run_state run = run_state::not_run;
    /// When another attempt may succeed; zero where none helps.
    duration retry_after{};
};

template <typename T> using result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, error>;
using BOOST_OUTCOME_V2_NAMESPACE::success;

std::string_view to_string(error_code code);
std::string_view to_string(run_state run);

/// The HTTP status that stands for \p code.
int http_status(error_code code);

} // namespace eelgrassdoor
