/// \file
/// Defines a daemon that a soak runs as a process of its own.
#pragma once

#include "soak/child_process.hpp"

#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// What a daemon's settings file is made of.
struct daemon_spec {
    std::string host;
    std::string availability_zone;
    /// Loopback address that no other daemon uses.
    std::string address;
    int first_port = 0;
    /// Whether the daemon serves callers; otherwise it runs jobs.
    bool serves_callers = false;
    /// `IP:PORT` of the store.
    std::string store;
    /// `IP:PORT` of the control role of some daemons.
    std::vector<std::string> seeds;
    /// Limits of memory, in MB, and of open files.
    int memory_mb = 260;
    int max_files = 4100;
};

/// Starts the program with a settings file, and signals it; see child_process.
class daemon_process {
public:
    /// \p folder takes the settings file and the log.
    daemon_process(daemon_spec spec, std::string program, std::string folder);

    /// Starts the process unless it runs. \p first_start tells it that the fleet is new.
    void start(bool first_start);
    void signal(int number) const { m_process.signal(number); }
    void kill() { m_process.kill(); }
    [[nodiscard]] bool is_running() { return m_process.is_running(); }

    [[nodiscard]] const daemon_spec& spec() const { return m_spec; }
    [[nodiscard]] pid_t pid() const { return m_process.pid(); }
    /// `IP:PORT` for callers, and for the readiness check.
    [[nodiscard]] std::string caller_endpoint() const;
    [[nodiscard]] std::string readiness_endpoint() const;
    [[nodiscard]] std::string control_endpoint() const;

private:
    [[nodiscard]] std::string settings(bool first_start) const;

    daemon_spec m_spec;
    std::string m_program;
    std::string m_folder;
    child_process m_process;
};

} // namespace eelgrassdoor::test
