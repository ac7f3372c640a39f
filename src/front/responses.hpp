/// \file
/// Defines the error responses and the API key header, shared by all HTTP APIs.
#pragma once

#include "base/error.hpp"

#include <string_view>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace eelgrassdoor::front {

/// Sets the HTTP status of \p e and a JSON body with `code`, `message`, `request_id` and `run`, and
/// the Retry-After header when \p e has a retry time.
void write_error(httplib::Response& response, const error& e, std::string_view request_id);

/// The JSON body that write_error() sends for \p e. Invalid UTF-8 is replaced.
std::string error_json(const error& e, std::string_view request_id);

/// The key in `Authorization: Bearer KEY`, or an empty string. The scheme is case-insensitive.
std::string bearer_key(const httplib::Request& request);

} // namespace eelgrassdoor::front
