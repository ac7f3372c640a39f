/// \file
/// Defines the table of the child processes that a scenario starts and sends signals to.
#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrassdoor::scenario {

/// The child processes of one scenario by name. The destructor kills those still running. Not
/// thread-safe.
class process_table {
public:
    ~process_table();
    /// Starts \p program and appends its standard output and error to \p log_path. Returns false
    /// when the program cannot be started.
    bool start(const std::string& name, const std::string& program,
               const std::vector<std::string>& arguments, const std::string& log_path);
    /// Sends signal \p number to a process; does nothing when it is unknown or has ended.
    void signal(const std::string& name, int number);
    /// Returns whether a process has ended; true for an unknown name.
    bool ended(const std::string& name);
    /// Returns the exit status of an ended process, 128 plus the signal number after a signal, or
    /// -1 while it runs. Throws std::out_of_range for an unknown name.
    int exit_status(const std::string& name);
    /// Sends SIGKILL and waits until the process has ended.
    void kill(const std::string& name);
    /// Returns the process id, or 0 for an unknown name.
    pid_t pid(const std::string& name) const;

private:
    struct child {
        pid_t pid = 0;
        bool ended = false;
        int status = -1;
    };

    /// Collects the exit status of \p c if it has ended, or once it has when \p wait is set.
    void reap(child& c, bool wait);

    std::map<std::string, child> m_children;
};

} // namespace eelgrassdoor::scenario
