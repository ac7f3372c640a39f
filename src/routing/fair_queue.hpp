/// \file
/// Defines the weighted fair queue, by customer, for requests that find all targets full. Performs
/// no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::routing {

/// Bounds on the number of queued requests.
struct fair_queue_options {
    std::size_t max_per_customer = 64;
    std::size_t max_total = 512;
};

/// Start-time fair queueing: while the queue is backlogged, each waiting customer is served in
/// proportion to its weight, regardless of how many requests other customers submit.
/// Not thread-safe.
class fair_queue {
public:
    explicit fair_queue(fair_queue_options options = {}) : m_options(options) {}

    /// Enqueues request \p id. \p weight must be positive; \p deadline is used by expire() only.
    /// Returns false when the customer's queue or the whole queue is full.
    bool push(std::uint64_t id, std::string_view customer, double weight, time_point deadline);
    /// The request to serve next, or none when the queue is empty.
    [[nodiscard]] std::optional<std::uint64_t> front() const;
    /// Removes the request that front() returns. Does nothing when the queue is empty.
    void pop();
    /// Removes one request from any position. Does nothing when \p id is not queued.
    void remove(std::uint64_t id);
    /// Removes the requests whose deadline is at or before \p now and returns their ids.
    std::vector<std::uint64_t> expire(time_point now);
    [[nodiscard]] std::size_t size() const { return m_size; }
    /// The number of queued requests that would be served before a new one of \p customer.
    [[nodiscard]] std::size_t ahead_of(std::string_view customer, double weight) const;

private:
    struct entry {
        std::uint64_t id;
        double start;
        time_point deadline;
    };
    struct customer_queue {
        std::deque<entry> entries;
        double last_finish = 0;
    };
    using queue_map = std::map<std::string, customer_queue, std::less<>>;

    [[nodiscard]] queue_map::const_iterator next() const;

    fair_queue_options m_options;
    queue_map m_queues;
    double m_virtual_time = 0;
    std::size_t m_size = 0;
};

} // namespace eelgrassdoor::routing
