#include "jobs/cancellation_news.hpp"

namespace eelgrassdoor::jobs {

bool cancellation_news::is_recent(duration max_age) const {
    return m_options.is_known(m_options.clock() - max_age);
}

bool cancellation_news::may_start() {
    // The rest of the allowed delay is for the connection to the target.
    if (is_recent(m_options.max_delay / 2)) {
        return true;
    }
    if (!m_is_confirming) {
        m_is_confirming = true;
        net::asio::co_spawn(m_executor, confirm(), net::asio::detached);
    }
    return !m_options.is_store_reachable();
}

bool cancellation_news::may_send() const {
    // The rest of the allowed delay is for the way to the target, which may lead through another
    // daemon.
    return is_recent(m_options.max_delay * 3 / 4) || !m_options.is_store_reachable();
}

net::task<> cancellation_news::confirm() {
    const bool is_confirmed = co_await m_options.confirm(m_options.clock());
    m_is_confirming = false;
    if (is_confirmed) {
        m_options.on_confirmed();
    }
}

} // namespace eelgrassdoor::jobs
