/// \file
/// Defines a daemon under test with its store and one engine, as processes on loopback addresses.
#pragma once

#include "soak/child_process.hpp"

#include <cstddef>
#include <string>

namespace eelgrassdoor::test {

/// A running eelgrassdoord with lowered limits that serves the open route "public". The stand-ins
/// end with this object.
class tested_daemon {
public:
    /// \param programs the build folder. \param folder receives the logs.
    tested_daemon(std::string programs, std::string folder);
    /// Starts all processes and waits until a request is answered; false when that fails.
    bool start();
    /// Whether the daemon's process has not ended.
    [[nodiscard]] bool is_running() { return m_daemon.is_running(); }
    /// Peak of the daemon's resident memory in bytes.
    [[nodiscard]] std::size_t peak_memory() const;
    /// Open descriptors of the daemon.
    [[nodiscard]] std::size_t descriptors() const;
    /// Whether one completion is answered with 200. Waits before it returns from a
    /// failed attempt, for the Retry-After of a refusal or a second.
    [[nodiscard]] bool serves() const;
    [[nodiscard]] int caller_port() const { return m_caller_port; }
    [[nodiscard]] int peer_port() const { return m_peer_port; }

private:
    /// Starts one process of the build folder; its output goes to the folder of this test.
    void launch(child_process& process, const std::string& program,
                std::vector<std::string> arguments) const;

    std::string m_programs;
    std::string m_folder;
    int m_store_port;
    int m_engine_port;
    int m_caller_port;
    int m_peer_port;
    child_process m_store;
    child_process m_engine;
    child_process m_daemon;
};

} // namespace eelgrassdoor::test
