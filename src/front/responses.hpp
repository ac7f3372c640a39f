/// \file
/// Defines how answers and errors are written to callers and operators.
#pragma once

#include "base/error.hpp"

#include <string_view>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace eelgrassdoor::front {

/// Writes \p e as JSON with `code`, `message`, `request_id` and `run`, and Retry-After where
/// another attempt may help.
void write_error(httplib::Response& response, const error& e, std::string_view request_id);

/// The JSON text of \p e, as in write_error().
std::string error_json(const error& e, std::string_view request_id);

/// The key in `Authorization: Bearer KEY`, or an empty text.
std::string bearer_key(const httplib::Request& request);

} // namespace eelgrassdoor::front
