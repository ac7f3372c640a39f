/// \file
/// Defines the queue in front of full targets: weighted fair by customer. Pure: no I/O.
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

/// The bounds of a queue.
struct fair_queue_options {
    std::size_t max_per_customer = 64;
    std::size_t max_total = 512;
};

/// Start-time fair queueing: over any busy time each waiting customer is served in proportion to
/// its weight, however many requests the others bring.
class fair_queue {
public:
    explicit fair_queue(fair_queue_options options = {}) : m_options(options) {}

    /// Adds a request. Returns false when the customer's or the whole queue is full.
    bool push(std::uint64_t id, std::string_view customer, double weight, time_point deadline);
    /// The request that is served next.
    [[nodiscard]] std::optional<std::uint64_t> front() const;
    void pop();
    /// Takes one request out, wherever it stands.
    void remove(std::uint64_t id);
    /// Takes out the requests whose deadline has passed.
    std::vector<std::uint64_t> expire(time_point now);
    [[nodiscard]] std::size_t size() const { return m_size; }
    /// How many requests would be served before a new one of \p customer.
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
