#include "config/serving_plan.hpp"

#include "base/text.hpp"

namespace eelgrassdoor::config {

const serving_route* serving_plan::match(std::string_view host, std::string_view path) const {
    const serving_route* best = nullptr;
    for (const serving_route& route : routes) {
        const bool fits = equals_ignore_case(route.host, host) &&
                          path.substr(0, route.path_prefix.size()) == route.path_prefix;
        if (fits && (best == nullptr || route.path_prefix.size() > best->path_prefix.size())) {
            best = &route;
        }
    }
    return best;
}

const serving_route* serving_plan::find_route(std::string_view name) const {
    for (const serving_route& route : routes) {
        if (route.name == name) {
            return &route;
        }
    }
    return nullptr;
}

std::string pick_service(const serving_route& route, random_source& random) {
    double sum = 0;
    for (const weighted_service& each : route.services) {
        sum += each.weight;
    }
    double at = random.unit() * sum;
    for (const weighted_service& each : route.services) {
        at -= each.weight;
        if (at < 0) {
            return each.service;
        }
    }
    return route.services.empty() ? std::string() : route.services.back().service;
}

} // namespace eelgrassdoor::config
