/// \file
/// Defines how a host is emptied when the operator asks for it.
#pragma once

#include "host/platform_interface.hpp"
#include "jobs/job_runner.hpp"
#include "net/asio.hpp"
#include "observe/decision_log.hpp"

#include <string>

namespace eelgrassdoor::host {

/// Gives this host's jobs up and tells the operator when none is left.
class evacuation {
public:
    evacuation(net::asio::any_io_executor executor, std::string host, host_adapter& adapter,
               observe::decision_log& log)
        : m_executor(std::move(executor)), m_host(std::move(host)), m_adapter(adapter), m_log(log) {
    }

    /// Begins; later calls change nothing.
    void begin(jobs::job_runner& runner);

private:
    net::task<> report(jobs::job_runner& runner);

    net::asio::any_io_executor m_executor;
    std::string m_host;
    host_adapter& m_adapter;
    observe::decision_log& m_log;
    bool m_begun = false;
};

} // namespace eelgrassdoor::host
