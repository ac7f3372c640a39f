/// \file
/// Defines the service that knows the targets and gives each request a place on one.
#pragma once

#include "base/error.hpp"
#include "base/random_source.hpp"
#include "http/client_pool.hpp"
#include "platform/host_list.hpp"
#include "routing/fair_queue.hpp"
#include "routing/retry_budget.hpp"
#include "routing/target_view.hpp"
#include "service/daemon_context.hpp"
#include "service/member_service.hpp"
#include "service/ticker.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::service {

/// What a place on a target is wanted for.
struct place_request {
    /// The model or the service route.
    std::string serves;
    std::string customer;
    double weight = 1;
    std::uint64_t prefix_hash = 0;
    std::set<std::string, std::less<>> excluded;
    bool may_exceed_slots = false;
    time_point deadline;
};

/// A place on a target. Its destructor tells that the request has ended.
class place {
public:
    place(std::function<void(bool failed)> release, routing::picked_target target)
        : m_release(std::move(release)), m_target(std::move(target)) {}
    place(place&& other) noexcept
        : m_release(std::exchange(other.m_release, nullptr)), m_target(std::move(other.m_target)),
          m_failed(other.m_failed) {}
    place& operator=(place&&) = delete;
    ~place() {
        if (m_release) {
            m_release(m_failed);
        }
    }

    [[nodiscard]] const routing::picked_target& target() const { return m_target; }
    /// The target is not picked for a while.
    void mark_failed() { m_failed = true; }

private:
    std::function<void(bool failed)> m_release;
    routing::picked_target m_target;
    bool m_failed = false;
};

/// Thread-safe.
class target_service {
public:
    target_service(runtime& shared, member_service& members);

    void start();
    void stop();

    /// Waits for a place on a target. Fails at once when the deadline cannot be met.
    result<place> acquire(const place_request& wanted);
    /// Takes one retry of the fleet-wide budget.
    bool try_retry();
    http::client_pool& connections(std::string_view endpoint);

    void set_host_list(const platform::host_list& list);
    void note_report(const peer::target_report& report);
    /// The newest reports, for gossip.
    std::vector<peer::target_report> reports_to_send(std::size_t most);
    /// Called with the name of a target when an online request goes there or has ended.
    void on_online(std::function<void(const std::string& target)> hook) {
        m_online_hook = std::move(hook);
    }
    /// Gives the batch streams among a target's running ones.
    void on_batch_streams(std::function<std::uint32_t(const std::string& target)> hook) {
        m_batch_streams_hook = std::move(hook);
    }
    template <typename Read> auto with_view(Read read) const {
        const absl::MutexLock lock(&m_mutex);
        return read(static_cast<const routing::target_view&>(m_view));
    }

private:
    /// A request that waits for a place.
    struct waiter {
        const place_request* wanted = nullptr;
        bool placed = false;
        bool expired = false;
        routing::picked_target target;
    };

    void poll_targets();
    void poll_one(const std::string& name, const std::string& endpoint);
    void release(const std::string& target, time_point sent_at, bool failed);
    /// Gives places to waiting requests, in their order.
    void pump() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    result<routing::picked_target> wait_for_place(const place_request& wanted);
    std::optional<routing::picked_target> try_place(const place_request& wanted)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    duration expected_wait(const place_request& wanted) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    runtime& m_shared;
    member_service& m_members;
    std::function<void(const std::string&)> m_online_hook;
    std::function<std::uint32_t(const std::string&)> m_batch_streams_hook;
    mutable absl::Mutex m_mutex;
    routing::target_view m_view ABSL_GUARDED_BY(m_mutex);
    random_source m_random ABSL_GUARDED_BY(m_mutex);
    routing::retry_budget m_retries ABSL_GUARDED_BY(m_mutex);
    /// One queue for each model, so that a full model does not hold up another.
    std::map<std::string, routing::fair_queue, std::less<>> m_queues ABSL_GUARDED_BY(m_mutex);
    std::map<std::uint64_t, waiter*> m_waiters ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_next_waiter ABSL_GUARDED_BY(m_mutex) = 1;
    /// Running mean of the time that a request holds its place.
    double m_hold_s ABSL_GUARDED_BY(m_mutex) = 1;
    std::size_t m_next_report ABSL_GUARDED_BY(m_mutex) = 0;
    absl::Mutex m_pools_mutex;
    std::map<std::string, std::unique_ptr<http::client_pool>, std::less<>>
        m_pools ABSL_GUARDED_BY(m_pools_mutex);
    ticker m_poller;
};

} // namespace eelgrassdoor::service
