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

/// A queue with start-time fair queueing: customers with queued requests are served in proportion
/// to their weights, however many requests each of them submits. Requests of one customer are
/// served in order of arrival. Not thread-safe.
class fair_queue {
public:
    explicit fair_queue(fair_queue_options options = {}) : m_options(options) {}

    /// Enqueues the request \p id. \p weight is the customer's and must be positive; \p deadline is
    /// used by expire() only. Returns false when the customer's queue or the whole queue is full.
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
    /// The queued requests in the order in which they are served if no other one comes.
    [[nodiscard]] std::vector<std::uint64_t> in_order() const;
    /// The number of queued requests that would be served before a new one of \p customer, whose
    /// \p weight must be positive.
    [[nodiscard]] std::size_t ahead_of(std::string_view customer, double weight) const;

private:
    struct entry {
        std::uint64_t id;
        /// Virtual start time; the entry with the lowest one is served next.
        double start;
        time_point deadline;
    };
    struct customer_queue {
        std::deque<entry> entries;
        /// Virtual finish time of the latest entry: its start and 1 / weight.
        double last_finish = 0;
    };
    using queue_map = std::map<std::string, customer_queue, std::less<>>;

    /// The queue whose first entry is served next; the end when all are empty.
    [[nodiscard]] queue_map::const_iterator next() const;
    /// Forgets the customers' past when the queue is empty.
    void reset_if_empty();

    fair_queue_options m_options;
    /// By customer name.
    queue_map m_queues;
    /// The highest virtual start time of a served entry; 0 again when the queue is empty.
    double m_virtual_time = 0;
    std::size_t m_size = 0;
};

} // namespace eelgrassdoor::routing
