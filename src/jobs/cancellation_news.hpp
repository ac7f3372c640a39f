/// \file
/// Defines how recent a daemon's knowledge of cancelled jobs has to be when it sends items.
#pragma once

#include "base/clock.hpp"
#include "net/notification.hpp"

#include <functional>

namespace eelgrassdoor::jobs {

/// Decides whether this daemon knows recently enough which jobs are cancelled. A watch whose
/// response was lost hides a cancellation for as long as the watch lasts, so silence of the watch
/// is no evidence: items start, and are sent, only while a call to the key-value service has
/// confirmed the knowledge within a part of the allowed delay. Without items to start, no call is
/// made. While no daemon reaches the key-value service no job can be cancelled, and items are sent
/// regardless. Not thread-safe.
class cancellation_news {
public:
    struct options {
        /// Time after a job's cancellation within which its items may still reach targets.
        duration max_delay{};
        clock_fn clock;
        /// Whether every cancellation acknowledged before \p since is known.
        std::function<bool(time_point since)> is_known;
        /// The same; asks the key-value service if need be.
        std::function<net::task<bool>(time_point since)> confirm;
        /// Whether any daemon, which may be this one, reaches the key-value service.
        std::function<bool()> is_store_reachable;
        /// Called when an item that was not started may start now.
        std::function<void()> on_confirmed;
    };

    cancellation_news(net::asio::any_io_executor executor, options settings)
        : m_executor(std::move(executor)), m_options(std::move(settings)) {}

    /// Whether an item may start. When that is not known, asks the key-value service and calls
    /// options::on_confirmed once it is.
    [[nodiscard]] bool may_start();
    /// Whether an item that has started may still be sent to its target.
    [[nodiscard]] bool may_send() const;

private:
    /// Whether what is known is at most \p max_age old.
    [[nodiscard]] bool is_recent(duration max_age) const;
    net::task<> confirm();

    net::asio::any_io_executor m_executor;
    options m_options;
    bool m_is_confirming = false;
};

} // namespace eelgrassdoor::jobs
