/// \file
/// Defines who may use a route.
#pragma once

#include "base/error.hpp"
#include "config/document.hpp"

#include <string>
#include <string_view>

namespace eelgrassdoor::front {

/// The customer for whom a request runs.
struct caller_identity {
    /// Empty on a route that is open to all.
    std::string customer;
    double weight = 1;
    /// The public id of the key; empty on an open route.
    std::string key_id;
};

/// The caller that \p raw_key stands for.
result<caller_identity> authenticate(const config::document& doc, std::string_view raw_key);

/// The caller of a request on \p route; a key is not looked at on a route open to all.
result<caller_identity> authenticate(const config::document& doc, const config::route& route,
                                     std::string_view raw_key);

/// Whether \p identity may still be served under a newer configuration.
bool is_authorized(const config::document& doc, const caller_identity& identity);

} // namespace eelgrassdoor::front
