#include "host/evacuation.hpp"

#include "net/notification.hpp"

namespace eelgrassdoor::host {

namespace {

/// Interval between two checks for remaining jobs, and between two attempts to report.
constexpr duration report_interval = milliseconds(250);

} // namespace

void evacuation::begin(jobs::job_runner& runner) {
    if (m_started) {
        return;
    }
    m_started = true;
    runner.start_draining();
    net::asio::co_spawn(m_executor, report(runner), net::asio::detached);
}

net::task<> evacuation::report(jobs::job_runner& runner) {
    bool active_reported = false;
    for (;;) {
        const bool complete = runner.is_drained();
        if (complete || !active_reported) {
            store::kv_transaction change;
            change.writes.push_back(m_adapter.evacuation_status(m_host, complete));
            const auto written = co_await m_adapter.store.commit(std::move(change));
            active_reported = active_reported || written.has_value();
            if (complete && written) {
                m_log.write(observe::event::host_emptied, m_host);
                co_return;
            }
        }
        co_await net::sleep_for(report_interval);
    }
}

} // namespace eelgrassdoor::host
