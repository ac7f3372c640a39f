/// \file
/// Defines the configuration that entry hosts serve by: routes, services, customers and keys.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::config {

/// What may be repeated on a route.
enum class repeat_rule {
    /// A request may run more than once.
    idempotent,
    /// A request runs at most once.
    at_most_once,
};

/// A service and the part of a route's requests that it gets.
struct weighted_service {
    std::string service;
    /// Relative to the other services of the route.
    double weight = 1;
};

/// How batch jobs of a route are accepted and run.
struct job_rules {
    /// When all results of a job are due, from its first submission.
    duration completion_target = seconds(0);
    /// When an item may be given up, from the first submission of its job.
    duration item_lifetime = seconds(0);
    /// Tokens of one customer that may wait on the route; 0 for no limit.
    std::uint64_t max_waiting_tokens = 0;
};

/// What a customer's requests with one host name and path prefix are handled by.
struct serving_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    repeat_rule repeats = repeat_rule::at_most_once;
    /// Whether answers are streams of events.
    bool streaming = false;
    /// Whether a broken stream may go on at another target behind its last event.
    bool resumable = false;
    /// Whether the route takes batch jobs instead of requests.
    bool takes_jobs = false;
    /// Whether requests need no key.
    bool open_to_all = false;
    /// The longest time a caller is kept waiting.
    duration timeout = seconds(60);
    /// Answers later than this are late. For streams: the first event.
    duration latency_objective = seconds(1);
    /// 0 is served first.
    int priority = 0;
    /// Targets that one request may be run on.
    int max_attempts = 1;
    std::vector<weighted_service> services;
    job_rules jobs;
};

/// Targets of one kind that serve the same.
struct serving_service {
    std::string name;
    /// Connections that one target accepts from all callers together.
    int max_connections = 0;
    /// Requests that one target runs at a time; 0 when unknown.
    int slots = 0;
    /// Tokens that one target's memory holds; 0 when unknown.
    std::uint64_t memory_tokens = 0;
};

struct serving_customer {
    std::string name;
    /// Requests a second and at once over all hosts together; a rate of 0 means no limit.
    double rate_per_second = 0;
    double burst = 0;
    /// 0 is served first; goes before the priority of the route.
    int priority = 0;
};

/// One version of the configuration. Immutable once it is in force.
struct serving_plan {
    std::uint64_t version = 0;
    /// Filled by add_route().
    std::vector<serving_route> routes;
    /// Places in routes by host name in lower case, the longest path prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host;
    /// Places in routes by name.
    std::map<std::string, std::size_t, std::less<>> routes_by_name;
    std::map<std::string, serving_service, std::less<>> services;
    std::map<std::string, serving_customer, std::less<>> customers;
    /// Keys that callers show, with their customer's name.
    std::map<std::string, std::string, std::less<>> keys;
    /// Whether requests need a key at all.
    bool keyed = false;
    net::client_limits limits;

    void add_route(serving_route route);
    /// The route of a request: of those with this host name, the one with the longest prefix.
    [[nodiscard]] const serving_route* match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const serving_route* find_route(std::string_view name) const;
};

/// The service that gets the next request of a route, by the weights.
std::string pick_service(const serving_route& route, random_source& random);

using serving_plan_ptr = std::shared_ptr<const serving_plan>;

} // namespace eelgrassdoor::config
