/// \file
/// Defines the sheet: the operators' configuration of zones, customers, models and routes.
#pragma once

#include "base/clock.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::config {

/// A customer with its rate limit and its share of the fleet.
struct customer {
    std::string name;
    /// Requests per second over all hosts together.
    double rate_per_second = 0;
    /// Requests that may arrive at once over all hosts together.
    double burst = 0;
    /// Share of a fully loaded fleet, relative to the other customers.
    double weight = 1;

    bool operator==(const customer&) const = default;
};

/// A model that engines serve.
struct model {
    std::string name;
    /// Percentage of each engine's slots that batch work leaves free for online requests.
    double batch_reserve_percent = 0;

    bool operator==(const model&) const = default;
};

/// What serves a route.
enum class route_kind { model, service };
/// Whether callers of a route need a key.
enum class route_access { keyed, open };

/// A name under which callers reach a model or a plain service.
struct route {
    std::string name;
    route_kind kind = route_kind::model;
    /// The model that serves the route; empty for a plain service.
    std::string model;
    route_access access = route_access::keyed;
    /// Whether a request may be retried after a failure with unknown outcome.
    bool idempotent = false;
    /// Request timeout.
    duration timeout = std::chrono::seconds(60);

    bool operator==(const route&) const = default;
};

/// The complete operator configuration except keys.
struct sheet {
    /// In the order of the sheet, without duplicates.
    std::vector<std::string> availability_zones;
    std::map<std::string, customer, std::less<>> customers;
    std::map<std::string, model, std::less<>> models;
    std::map<std::string, route, std::less<>> routes;

    bool operator==(const sheet&) const = default;
};

/// The differences between two sheets, one line each, prefixed with `+`, `-` or `~`. Empty when the
/// sheets are equivalent.
std::vector<std::string> diff_sheets(const sheet& before, const sheet& after);

} // namespace eelgrassdoor::config
