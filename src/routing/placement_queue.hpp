/// \file
/// Defines in which order the requests of one service wait for a place at a target, and which of
/// them are refused instead. Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "routing/fair_queue.hpp"
#include "routing/wait_rules.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace eelgrassdoor::routing {

/// Identifies a waiting request; 0 for none.
using placement_id = std::uint64_t;

/// A request that found no place.
struct placement_request {
    std::string customer;
    /// Share of the customer, relative to others of the same priority. Must be positive.
    double weight = 1;
    /// Lower values are served first; that of the customer takes precedence.
    int customer_priority = 0;
    int route_priority = 0;
    waiting_request timing;
    /// If set, the request waits for this time whatever the prediction, as one that has no other
    /// choice: the rest of a stream that has begun.
    std::optional<duration> patience;
    /// Called when the request is to look for a place, or has lost its place in the queue. Must be
    /// set, and must not call the queue.
    std::function<void()> wake;
};

/// What is known of the places for which the requests wait.
struct placement_capacity {
    /// Places, in use or not, at the targets that may get requests.
    int places = 0;
    /// Places in use by the requests of this daemon.
    int held = 0;
    /// Daemons that use the places, with this one.
    std::size_t daemons = 1;
};

/// Whether a request waits.
struct placement_decision {
    /// 0 if the request is refused.
    placement_id id = 0;
    /// Predicted time until the request has a place.
    duration predicted{};
    /// Time after which a refused caller finds a place if others behave as predicted.
    duration retry_after{};
};

/// How many of the places that are seen free at a report of other daemons this one's waiting
/// requests take: an equal part, rounded at random, as every daemon sees the same places.
[[nodiscard]] int part_of_free_places(int free, std::size_t daemons, random_source& random);

/// Bound on the queue.
struct placement_queue_options {
    std::size_t max_waiting = 256;
};

/// The requests of one service that wait for a place. Those that can still meet their latency
/// objective come first, then those of the better priority; within a priority customers are served
/// in proportion to their weights. A late request takes what the others leave. Not thread-safe.
class placement_queue {
public:
    explicit placement_queue(placement_queue_options options = {}) : m_options(options) {}

    /// Enqueues a request or refuses it by decide_wait(). When the queue is full, the request
    /// replaces the last one of the customer with the most waiting requests for its weight, unless
    /// that is its own.
    placement_decision enqueue(placement_request request, const placement_capacity& capacity,
                               time_point now, random_source& random);
    /// Removes a request that has found a place or ends its wait. Does nothing for one that is not
    /// in the queue.
    void leave(placement_id id);
    /// Whether a request is still in the queue.
    [[nodiscard]] bool contains(placement_id id) const { return m_waiting.contains(id); }
    /// When a request, which must be in the queue, can no longer be served in time.
    [[nodiscard]] time_point end_of_wait(placement_id id) const { return m_waiting.at(id).end; }
    /// Whether a request, which must be in the queue, goes only to a target with at least half of
    /// its slots free. A late request leaves the other places to the requests of all daemons that
    /// can be in time, until its own time runs out.
    [[nodiscard]] bool needs_idle_target(placement_id id, time_point now) const;
    /// The request that gets the next place.
    [[nodiscard]] std::optional<placement_id> first(time_point now);
    /// The request that gets it when \p id, which is in the queue, cannot use it.
    [[nodiscard]] std::optional<placement_id> next_after(placement_id id, time_point now);
    /// Wakes a request. Does nothing for one that is not in the queue.
    void wake(placement_id id) const;
    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    /// A group of requests between which only the customers' weights decide. Groups are served in
    /// ascending order.
    struct group_key {
        bool is_late = false;
        int customer_priority = 0;
        int route_priority = 0;

        bool operator==(const group_key&) const = default;
        bool operator<(const group_key& other) const {
            return std::tie(is_late, customer_priority, route_priority) <
                   std::tie(other.is_late, other.customer_priority, other.route_priority);
        }
    };
    struct waiter {
        placement_request request;
        group_key group;
        /// When the request becomes late.
        time_point on_time_until;
        time_point end;
    };

    [[nodiscard]] static group_key group_of(const placement_request& request, bool is_late);
    /// Requests that are served before a new one.
    [[nodiscard]] std::size_t ahead_of(const placement_request& request, group_key group) const;
    /// Moves requests that can no longer meet their objective to the late ones.
    void demote_late(time_point now);
    void insert(placement_id id, const waiter& waiting);
    /// Removes the last request of the customer with the most requests for its weight. Returns
    /// false if \p request would take its place.
    bool make_room_for(const placement_request& request);
    /// The delay for a refused caller, who comes back after those refused before it.
    [[nodiscard]] duration reserve_return(duration predicted, duration interval,
                                          const waiting_request& timing, time_point now,
                                          random_source& random);

    placement_queue_options m_options;
    std::map<placement_id, waiter> m_waiting;
    std::map<group_key, fair_queue> m_groups;
    placement_id m_last_id = 0;
    /// When the caller refused last is expected back.
    time_point m_last_return = time_point::min();
};

} // namespace eelgrassdoor::routing
