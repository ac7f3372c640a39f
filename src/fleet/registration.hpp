/// \file
/// Defines how a daemon is registered in the key-value service under a lease.
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
    /// Others may take over what this daemon owns when it has not renewed for this long.
    duration ttl = milliseconds(3000);
    /// Three renewals may be lost in a row.
    duration renew_interval = milliseconds(800);
    /// First and longest pause after a call that failed. Calls that the store refuses are counted
    /// as well, and in an outage every daemon of the fleet makes them.
    duration initial_retry_delay = milliseconds(250);
    duration max_retry_delay = milliseconds(500);
};

/// Keeps the registration alive, and knows until when it cannot have ended.
class registration {
public:
    /// \p lease_clock must also count the time in which the process was suspended.
    registration(net::asio::any_io_executor executor, store::kv_store& store,
                 const store::mirror& mirrors, registration_options options, clock_fn clock,
                 clock_fn lease_clock, observe::decision_log& log);

    void start();
    /// Told after each call to the store: whether it was answered, and why not.
    std::function<void(bool, std::string_view)> on_store_call = [](bool, std::string_view) {};
    /// Whether the lease cannot have ended yet, whatever the store has heard of this daemon.
    [[nodiscard]] bool valid() const { return m_lease_clock() < m_valid_until; }
    /// Counts the registrations of this process. Between two of them others may have taken over
    /// what this daemon owns.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    /// Removes the registration.
    net::task<> end();

private:
    net::task<> run();
    net::task<bool> register_anew();
    net::task<bool> renew();
    [[nodiscard]] bool is_listed() const;

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
    int m_unlisted_rounds = 0;
};

} // namespace eelgrassdoor::fleet
