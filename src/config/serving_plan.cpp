#include "config/serving_plan.hpp"

#include "base/text.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace eelgrassdoor::config {

void serving_plan::add_route(serving_route route) {
    const std::size_t index = routes.size();
    routes_by_name.emplace(route.name, index);
    std::vector<std::size_t>& same_host = routes_by_host[absl::AsciiStrToLower(route.host)];
    const auto shorter = std::find_if(same_host.begin(), same_host.end(), [&](std::size_t other) {
        return routes[other].path_prefix.size() < route.path_prefix.size();
    });
    same_host.insert(shorter, index);
    routes.push_back(std::move(route));
}

const serving_route* serving_plan::match(std::string_view host, std::string_view path) const {
    const auto same_host =
        routes_by_host.find(absl::AsciiStrToLower(absl::string_view(host.data(), host.size())));
    if (same_host == routes_by_host.end()) {
        return nullptr;
    }
    for (const std::size_t index : same_host->second) {
        const std::string& prefix = routes[index].path_prefix;
        if (path.substr(0, prefix.size()) == prefix) {
            return &routes[index];
        }
    }
    return nullptr;
}

const serving_route* serving_plan::find_route(std::string_view name) const {
    const auto found = routes_by_name.find(name);
    return found == routes_by_name.end() ? nullptr : &routes[found->second];
}

std::string pick_service(const serving_route& route, random_source& random) {
    double sum = 0;
    for (const weighted_service& each : route.services) {
        sum += each.weight;
    }
    double remaining = random.uniform() * sum;
    for (const weighted_service& each : route.services) {
        remaining -= each.weight;
        if (remaining < 0) {
            return each.service;
        }
    }
    return route.services.empty() ? std::string() : route.services.back().service;
}

} // namespace eelgrassdoor::config
