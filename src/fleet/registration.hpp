/// \file
/// Defines the registration of a daemon in the key-value service under a lease.
#pragma once

#include "base/clock.hpp"
#include "fleet/member.hpp"
#include "net/notification.hpp"
#include "observe/decision_log.hpp"
#include "store/kv_store.hpp"
#include "store/mirror.hpp"

namespace eelgrassdoor::fleet {

struct registration_options {
    member self;
    /// Lease time. Other daemons may take over the jobs of this one when it has not renewed for
    /// this long.
    duration ttl = milliseconds(3000);
    /// Allows three renewals in a row to fail before the lease ends.
    duration renew_interval = milliseconds(800);
    /// Initial and maximum delay after a failed call; the delay doubles in between. The store
    /// counts refused calls against the budget too, and in an outage every daemon makes them.
    duration initial_retry_delay = milliseconds(250);
    duration max_retry_delay = milliseconds(500);
};

/// Keeps the registration alive and tracks until when its lease is certain to hold. Not
/// thread-safe.
class registration {
public:
    /// \param lease_clock must include time in which the machine or process was suspended
    registration(net::asio::any_io_executor executor, store::kv_store& store,
                 const store::mirror& mirrors, registration_options options, clock_fn clock,
                 clock_fn lease_clock, observe::decision_log& log);

    /// Starts registering and renewing on the executor.
    void start();
    /// Called after each attempt to renew the lease: whether the store responded, and otherwise the
    /// reason.
    std::function<void(bool, std::string_view)> on_store_call = [](bool, std::string_view) {};
    /// Whether the lease cannot have expired yet, counted from when its last renewal was sent.
    [[nodiscard]] bool valid() const { return m_lease_clock() < m_valid_until; }
    /// Number of registrations that this process has made; 0 before the first. Between two of them
    /// other daemons may have adopted the jobs of this one.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    /// Ends the lease, which removes the registration, and stops renewing. When the store cannot be
    /// reached, the failure is logged and the registration lasts until the lease expires.
    net::task<> end();

private:
    net::task<> run();
    /// Writes the registration under a new lease. Returns whether that succeeded.
    net::task<bool> create_registration();
    /// Renews the lease. Returns false when the call failed or the lease has ended.
    net::task<bool> renew();
    /// Whether the mirror has this registration unchanged.
    [[nodiscard]] bool is_in_mirror() const;

    net::asio::any_io_executor m_executor;
    store::kv_store& m_store;
    const store::mirror& m_mirror;
    registration_options m_options;
    clock_fn m_clock;
    clock_fn m_lease_clock;
    observe::decision_log& m_log;
    net::notification m_wake;
    std::uint64_t m_lease = 0;
    std::uint64_t m_generation = 0;
    time_point m_valid_until{};
    bool m_ended = false;
    int m_unmirrored_renewals = 0;
};

} // namespace eelgrassdoor::fleet
