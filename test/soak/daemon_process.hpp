/// \file
/// Defines a daemon that a soak runs as a process of its own.
#pragma once

#include <string>
#include <sys/types.h>
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
};

/// Starts the program with a settings file, and signals it. Ends it with the thread that started
/// it. Only processes that this class has started are signalled.
class daemon_process {
public:
    /// \p folder takes the settings file and the log.
    daemon_process(daemon_spec spec, std::string program, std::string folder);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    /// Starts the process unless it runs. \p first_start tells it that the fleet is new.
    void start(bool first_start);
    void signal(int number) const;
    /// Ends the process at once and waits until it is gone.
    void kill();
    /// Whether the process runs; a stopped (SIGSTOP) one does.
    [[nodiscard]] bool is_running();

    [[nodiscard]] const daemon_spec& spec() const { return m_spec; }
    /// Process id; -1 while no process has been started or it has ended.
    [[nodiscard]] pid_t pid() const { return m_pid; }
    /// `IP:PORT` for callers, and for the readiness check.
    [[nodiscard]] std::string caller_endpoint() const;
    [[nodiscard]] std::string readiness_endpoint() const;
    [[nodiscard]] std::string control_endpoint() const;

private:
    [[nodiscard]] std::string settings(bool first_start) const;

    daemon_spec m_spec;
    std::string m_program;
    std::string m_folder;
    pid_t m_pid = -1;
};

} // namespace eelgrassdoor::test
