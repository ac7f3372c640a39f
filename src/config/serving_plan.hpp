/// \file
/// Defines the configuration used to serve requests: routes, services, customers and keys.
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

/// How often a request of a route may be executed.
enum class execution_semantics {
    /// A request may be executed more than once.
    idempotent,
    /// A request is executed at most once.
    at_most_once,
};

/// A service and its share of a route's requests.
struct weighted_service {
    std::string service;
    /// Relative to the other services of the route.
    double weight = 1;
};

/// Rules for batch jobs of a route.
struct job_rules {
    /// Time from the first submission of a job until all its results are due.
    duration completion_target = seconds(0);
    /// Time from the first submission of a job after which its items may be abandoned; 0 for none.
    duration item_lifetime = seconds(0);
    /// Limit on the tokens of one customer that wait on the route; 0 for none.
    std::uint64_t max_waiting_tokens = 0;
};

/// How requests with a given host name and path prefix are handled.
struct serving_route {
    std::string name;
    /// Host name, compared without regard to case.
    std::string host;
    /// Starts and ends with a slash.
    std::string path_prefix;
    execution_semantics semantics = execution_semantics::at_most_once;
    /// Whether responses are event streams.
    bool streaming = false;
    /// Whether an interrupted stream may resume at another target after its last event.
    bool resumable = false;
    /// Whether the route accepts batch jobs instead of online requests.
    bool accepts_jobs = false;
    /// Whether requests need no key.
    bool allows_anonymous = false;
    /// Longest time for which a caller is kept waiting.
    duration timeout = seconds(60);
    /// Target time to the response; for streams, to the first event.
    duration latency_objective = seconds(1);
    /// Lower values are served first.
    int priority = 0;
    /// Maximum number of targets on which one request may be executed.
    int max_attempts = 1;
    std::vector<weighted_service> services;
    job_rules jobs;
};

/// A group of interchangeable targets.
struct serving_service {
    std::string name;
    /// Connections that one target accepts in total.
    int max_connections = 0;
    /// Requests that one target runs concurrently; 0 when unknown.
    int slots = 0;
    /// Capacity of one target's KV cache in tokens; 0 when unknown.
    std::uint64_t kv_cache_tokens = 0;
    /// How long a target is cold after its start.
    duration cold_time{};
    /// Requests per second that a cold target tolerates; 0 for no limit.
    double cold_requests_per_second = 0;
};

/// The rate limit and priority of a customer.
struct serving_customer {
    std::string name;
    /// Requests per second over all hosts together; 0 for no limit.
    double rate_per_second = 0;
    /// Requests that may arrive at once over all hosts together.
    double burst = 0;
    /// Lower values are served first; takes precedence over the priority of the route.
    int priority = 0;
};

/// One version of the configuration. Immutable once in force, and then safe to read from any
/// thread.
struct serving_plan {
    std::uint64_t version = 0;
    /// Filled by add_route().
    std::vector<serving_route> routes;
    /// Indices into `routes` by lower-case host name, longest path prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host;
    /// Indices into `routes` by name.
    std::map<std::string, std::size_t, std::less<>> routes_by_name;
    std::map<std::string, serving_service, std::less<>> services;
    std::map<std::string, serving_customer, std::less<>> customers;
    /// Customer names by caller key.
    std::map<std::string, std::string, std::less<>> keys;
    /// Whether requests need a key.
    bool requires_keys = false;
    /// Size and time limits of callers' requests.
    net::client_limits limits;

    /// Adds a route and indexes it. Of routes with the same name, the first is found by name.
    void add_route(serving_route route);
    /// The route of a request: among those with this host name, the one with the longest matching
    /// path prefix; null when none matches.
    [[nodiscard]] const serving_route* match(std::string_view host, std::string_view path) const;
    /// The route with this name, or null.
    [[nodiscard]] const serving_route* find_route(std::string_view name) const;
};

/// Picks a service of \p route at random in proportion to the weights; empty when it has none.
std::string pick_service(const serving_route& route, random_source& random);

using serving_plan_ptr = std::shared_ptr<const serving_plan>;

} // namespace eelgrassdoor::config
