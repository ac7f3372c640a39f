/// \file
/// Defines the queues of the requests that wait for a place at a target, and what wakes them.
#pragma once

#include "routing/placement_queue.hpp"
#include "serving/service_context.hpp"

#include <map>
#include <string>
#include <string_view>

namespace eelgrassdoor::entry {

/// One queue for each service. A request is woken when this daemon learns of room at a target, and
/// wakes the next one when it has found a place or cannot use it. Runs on the event loop's thread;
/// the context must outlive it, and it must outlive the event loop's last turn.
class target_queues {
public:
    /// Sets the hook of the targets' load if the deployment queues requests.
    explicit target_queues(serving::service_context& context);

    /// The queue of \p service. Valid as long as this object.
    [[nodiscard]] routing::placement_queue& of(const std::string& service);
    /// Wakes the first request of \p service, if any waits.
    void wake_first(const std::string& service);
    /// Wakes the request after \p id, which cannot use the room that there is.
    void wake_next(const std::string& service, routing::placement_id id);
    /// Whether the request \p id, which is in the queue, may take a place of \p room now: one that
    /// an ended request of this daemon left, or one of its part of the places that all daemons see.
    [[nodiscard]] bool may_take(const std::string& service, routing::placement_id id,
                                const routing::online_places& room);
    /// Must be called when a waiting request has taken a place.
    void record_taken(const std::string& service);
    /// Must be called after a request has been added.
    void watch();
    /// Publishes the number of waiting requests.
    void update_gauge();

private:
    void on_room(routing::room_source source);
    void wake_all_first();
    /// Sets this daemon's part of the places that are seen free.
    void share_free_places();
    [[nodiscard]] std::size_t size() const;
    /// Wakes the first requests after a random delay, once for all reports that arrive meanwhile.
    net::task<> wake_after_report();
    /// Wakes the first requests regularly while any waits, as some targets get room by time alone:
    /// a backoff or the report of a lost daemon ends, or a cold target may get another request.
    net::task<> wake_by_time();

    serving::service_context& m_context;
    struct service_queue {
        routing::placement_queue queue;
        /// Places that waiting requests may take until more is known.
        int allowance = 0;
    };

    /// By service name.
    std::map<std::string, service_queue, std::less<>> m_queues;
    bool m_is_watching = false;
    bool m_has_report = false;
};

} // namespace eelgrassdoor::entry
