/// \file
/// Defines the error type of the library and the result type that carries it.
#pragma once

#include "base/clock.hpp"

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace eelgrassdoor {

/// The kind of an error. Its text form (see to_string()) is part of the HTTP interface.
enum class error_code {
    invalid_request,
    unauthorized,
    forbidden,
    not_found,
    conflict,
    /// The same call was sent before and is still being served; a later retry gets its response.
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

/// Whether a failed request was executed: not_run is a guarantee that it was not, unknown means
/// that it may have been. The text form is part of the HTTP interface.
enum class run_state { not_run, unknown, ran };

/// An error as it is reported to the caller.
struct error {
    error_code code = error_code::internal;
    std::string message;
    run_state run = run_state::not_run;
    /// Time after which a retry may succeed; zero when a retry does not help.
    duration retry_after{};
};

/// A value of type T or an error.
template <typename T> using result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, error>;
using BOOST_OUTCOME_V2_NAMESPACE::success;

/// Returns the name of the enumerator, as sent to callers.
std::string_view to_string(error_code code);
std::string_view to_string(run_state run);

/// Returns the HTTP status of a response that reports \p code.
int http_status(error_code code);

} // namespace eelgrassdoor
