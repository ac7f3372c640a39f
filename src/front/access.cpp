#include "front/access.hpp"

#include "base/text.hpp"

namespace eelgrassdoor::front {

result<caller_identity> authenticate(const config::document& doc, std::string_view raw_key) {
    if (raw_key.empty()) {
        return error{error_code::unauthorized, "an API key is required: Authorization: Bearer KEY",
                     run_state::not_run};
    }
    const config::key_record* key = doc.keys.find(raw_key);
    if (key == nullptr) {
        return error{error_code::unauthorized, "the API key is invalid or has been withdrawn",
                     run_state::not_run};
    }
    const auto customer = doc.parsed.customers.find(key->customer);
    if (customer == doc.parsed.customers.end()) {
        return error{error_code::forbidden,
                     "the customer of the API key is not in the active sheet", run_state::not_run};
    }
    return caller_identity{key->customer, customer->second.weight, key->id};
}

result<caller_identity> authenticate(const config::document& doc, const config::route& route,
                                     std::string_view raw_key) {
    if (route.access == config::route_access::open) {
        return caller_identity{};
    }
    return authenticate(doc, raw_key);
}

bool is_authorized(const config::document& doc, const caller_identity& identity) {
    if (identity.key_id.empty()) {
        return true;
    }
    const config::key_record* key = doc.keys.find_by_id(identity.key_id);
    return key != nullptr && key->customer == identity.customer &&
           doc.parsed.customers.contains(identity.customer);
}

} // namespace eelgrassdoor::front
