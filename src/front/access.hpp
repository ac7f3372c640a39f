/// \file
/// Defines the authentication and authorization of callers.
#pragma once

#include "base/error.hpp"
#include "config/document.hpp"

#include <string>
#include <string_view>

namespace eelgrassdoor::front {

/// The customer on whose behalf a request is served.
struct caller_identity {
    /// Empty on a route that needs no key.
    std::string customer;
    /// The customer's weight against other customers when requests queue for a target.
    double weight = 1;
    /// The public id of the API key; empty on a route that needs no key.
    std::string key_id;
};

/// Authenticates the holder of \p raw_key. Fails with error_code::unauthorized when the key is
/// missing or unknown, and with error_code::forbidden when its customer is not in \p doc.
result<caller_identity> authenticate(const config::document& doc, std::string_view raw_key);

/// Authenticates a request to \p route. On an open route \p raw_key is ignored and the identity is
/// anonymous.
result<caller_identity> authenticate(const config::document& doc, const config::route& route,
                                     std::string_view raw_key);

/// Whether \p identity is still valid under \p doc, which may be newer than the configuration that
/// it was authenticated with. Anonymous identities always are.
bool is_authorized(const config::document& doc, const caller_identity& identity);

} // namespace eelgrassdoor::front
