/// \file
/// Defines the service that tracks the targets' load and assigns each online request to a target.
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

/// A request for a target to send an online request to.
struct target_lease_request {
    /// The model or the service route.
    std::string serves;
    std::string customer;
    /// The customer's weight against other customers in the queue for targets.
    double weight = 1;
    /// Hash of the start of the prompt; targets that recently ran such a prompt hold it in their
    /// prefix cache.
    std::uint64_t prefix_hash = 0;
    /// Targets that have already failed the request; they are not chosen.
    std::set<std::string, std::less<>> excluded;
    /// Whether a target without free slots may be chosen, as for plain services.
    bool may_exceed_slots = false;
    /// Until when to wait for a target.
    time_point deadline;
};

/// The right to run one request on a target. The destructor reports the end of the request and
/// frees its slot.
class target_lease {
public:
    target_lease(std::function<void(bool failed)> release, routing::picked_target target)
        : m_release(std::move(release)), m_target(std::move(target)) {}
    target_lease(target_lease&& other) noexcept
        : m_release(std::exchange(other.m_release, nullptr)), m_target(std::move(other.m_target)),
          m_failed(other.m_failed) {}
    target_lease& operator=(target_lease&&) = delete;
    ~target_lease() {
        if (m_release) {
            m_release(m_failed);
        }
    }

    [[nodiscard]] const routing::picked_target& target() const { return m_target; }
    /// Reports the request as failed by the target, which is then avoided for some time.
    void mark_failed() { m_failed = true; }

private:
    std::function<void(bool failed)> m_release;
    routing::picked_target m_target;
    bool m_failed = false;
};

/// Polls the targets of its zone that this daemon is responsible for, every 250 ms, and gets the
/// load of the others by gossip. Requests that find no free slot wait in a queue per model that is
/// fair among customers. Thread-safe.
class target_service {
public:
    target_service(daemon_context& context, member_service& members);

    /// Starts to poll the targets. Before the first host list there are none.
    void start();
    void stop();

    /// Chooses a target, or waits for one. Fails with error_code::unavailable when no target serves
    /// the model, and with error_code::overloaded and the expected wait when the deadline passes,
    /// or at once when it cannot be met.
    result<target_lease> acquire(const target_lease_request& request);
    /// Takes one retry from the budget, which grows by a fixed ratio of this daemon's requests and
    /// so bounds the retries of the whole fleet. Returns false when the budget is exhausted.
    bool try_retry();
    /// The pool of connections to a target, created on first use. Valid as long as this service.
    http::client_pool& client_pool_for(std::string_view endpoint);

    /// Replaces the set of targets by the engines and services in \p list.
    void set_host_list(const platform::host_list& list);
    /// Applies a load report that another daemon sent by gossip.
    void apply_load_report(const peer::target_report& report);
    /// Load reports to be sent by gossip, at most \p max_count; successive calls go through all
    /// targets.
    std::vector<peer::target_report> reports_to_send(std::size_t max_count);
    /// Sets the function called with the name of a target when an online request is sent there or
    /// has ended. Call before start().
    void on_online_load_change(std::function<void(const std::string& target)> hook) {
        m_online_load_hook = std::move(hook);
    }
    /// Sets the function that returns how many of a target's running requests are batch items;
    /// without it, they count as none. Call before start().
    void set_batch_stream_counter(std::function<std::uint32_t(const std::string& target)> hook) {
        m_batch_stream_counter = std::move(hook);
    }
    /// Calls \p read with the targets' state while holding the lock, and returns its result.
    template <typename Read> auto with_view(Read read) const {
        const absl::MutexLock lock(&m_mutex);
        return read(static_cast<const routing::target_view&>(m_view));
    }

private:
    /// A request that waits for a target.
    struct waiter {
        const target_lease_request* request = nullptr;
        bool assigned = false;
        bool expired = false;
        routing::picked_target target;
    };

    /// Starts the polls of the targets that this daemon is responsible for, on worker threads.
    void poll_targets();
    /// Reads the load of one target.
    void poll_target(const std::string& name, const std::string& endpoint);
    /// Ends a lease: frees the slot, and records a failure or the time that the slot was held.
    void release(const std::string& target, time_point sent_at, bool failed);
    /// Assigns targets to waiting requests, in the order of their queues.
    void assign_waiters() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Picks a target at once, or queues the request until one is assigned or the deadline passes.
    result<routing::picked_target> wait_for_target(const target_lease_request& request);
    /// Picks a target that can take the request now, and counts the request as sent there.
    std::optional<routing::picked_target> try_pick(const target_lease_request& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// How long the request would queue, estimated from the queue's length, the mean hold time and
    /// the number of slots.
    duration expected_wait(const target_lease_request& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    daemon_context& m_context;
    member_service& m_members;
    std::function<void(const std::string&)> m_online_load_hook;
    std::function<std::uint32_t(const std::string&)> m_batch_stream_counter;
    mutable absl::Mutex m_mutex;
    routing::target_view m_view ABSL_GUARDED_BY(m_mutex);
    random_source m_random ABSL_GUARDED_BY(m_mutex);
    routing::retry_budget m_retries ABSL_GUARDED_BY(m_mutex);
    /// One queue per model, so that a model without free slots does not block another.
    std::map<std::string, routing::fair_queue, std::less<>> m_queues ABSL_GUARDED_BY(m_mutex);
    std::map<std::uint64_t, waiter*> m_waiters ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_next_waiter ABSL_GUARDED_BY(m_mutex) = 1;
    /// Moving average of the time that a request holds its slot, in seconds.
    double m_mean_hold_s ABSL_GUARDED_BY(m_mutex) = 1;
    /// The position among the targets at which reports_to_send() goes on.
    std::size_t m_report_cursor ABSL_GUARDED_BY(m_mutex) = 0;
    absl::Mutex m_pools_mutex;
    std::map<std::string, std::unique_ptr<http::client_pool>, std::less<>>
        m_pools ABSL_GUARDED_BY(m_pools_mutex);
    ticker m_poller;
};

} // namespace eelgrassdoor::service
