/// \file
/// Defines the evacuation of a host on the operator's request.
#pragma once

#include "host/platform_interface.hpp"
#include "jobs/job_runner.hpp"
#include "net/asio.hpp"
#include "observe/decision_log.hpp"

#include <string>

namespace eelgrassdoor::host {

/// Releases this host's jobs and reports progress in the key-value service: active at first, and
/// complete when no job is left. A failed report is retried until the store accepts it. Runs on the
/// event loop's thread.
class evacuation {
public:
    evacuation(net::asio::any_io_executor executor, std::string host, platform_interface& adapter,
               observe::decision_log& log)
        : m_executor(std::move(executor)), m_host(std::move(host)), m_adapter(adapter), m_log(log) {
    }

    /// Starts the evacuation; later calls have no effect. \p runner must outlive this object.
    void begin(jobs::job_runner& runner);

private:
    net::task<> report(jobs::job_runner& runner);

    net::asio::any_io_executor m_executor;
    std::string m_host;
    platform_interface& m_adapter;
    observe::decision_log& m_log;
    bool m_started = false;
};

} // namespace eelgrassdoor::host
