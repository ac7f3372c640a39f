/// \file
/// Defines a process that a soak starts, signals and kills.
#pragma once

#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace eelgrassdoor::test {

/// What a process is started with.
struct child_command {
    std::string program;
    std::vector<std::string> arguments;
    /// Variables set besides those of this process.
    std::vector<std::pair<std::string, std::string>> environment;
    /// File to which output and errors are appended.
    std::string log;
};

/// Ends its process with the thread that started it. Only processes that this class has started are
/// signalled.
class child_process {
public:
    child_process() = default;
    ~child_process() { kill(); }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Starts the process unless it runs.
    void start(const child_command& command);
    void signal(int number) const;
    /// Ends the process at once and waits until it is gone.
    void kill();
    /// Whether the process runs; a stopped (SIGSTOP) one does.
    [[nodiscard]] bool is_running();
    /// Process id; -1 while no process has been started or it has ended.
    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
};

} // namespace eelgrassdoor::test
