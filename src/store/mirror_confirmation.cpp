#include "store/mirror_confirmation.hpp"

#include <algorithm>

namespace eelgrassdoor::store {

bool mirror_confirmation::has_failed(time_point since) const {
    return m_failed_from > m_confirmed_from &&
           m_failed_from >= std::max(since, m_clock() - retry_interval);
}

net::task<bool> mirror_confirmation::confirm(time_point since) {
    const time_point end = m_clock() + timeout;
    const auto wake = std::make_shared<net::notification>(m_executor);
    m_waiting.push_back(wake);
    while (!is_confirmed(since) && !has_failed(since) && m_clock() < end) {
        // A call that began before `since` may not do; the next one is made when it has ended.
        if (!m_is_calling) {
            m_is_calling = true;
            net::asio::co_spawn(m_executor, call(), net::asio::detached);
        }
        co_await wake->wait_until(end);
    }
    m_waiting.remove(wake);
    co_return is_confirmed(since);
}

net::task<> mirror_confirmation::call() {
    const time_point from = m_clock();
    const bool has_answered = co_await m_refresh();
    (has_answered ? m_confirmed_from : m_failed_from) = from;
    m_is_calling = false;
    for (const std::shared_ptr<net::notification>& each : m_waiting) {
        each->notify();
    }
}

} // namespace eelgrassdoor::store
