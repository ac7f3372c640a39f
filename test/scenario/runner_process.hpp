/// \file
/// Defines the processes that a scenario starts, freezes and kills.
#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrassdoor::scenario {

/// The processes of one scenario by name. All are killed at the end.
class process_table {
public:
    ~process_table();
    /// Starts \p program; its output goes to \p log_path. Returns false when it cannot start.
    bool start(const std::string& name, const std::string& program,
               const std::vector<std::string>& arguments, const std::string& log_path);
    /// Sends a signal to one process.
    void signal(const std::string& name, int number);
    /// Whether the process has ended.
    bool ended(const std::string& name);
    /// The exit status of an ended process, or -1.
    int exit_status(const std::string& name);
    void kill(const std::string& name);
    /// The process number, or 0.
    pid_t pid(const std::string& name) const;

private:
    struct child {
        pid_t pid = 0;
        bool ended = false;
        int status = -1;
    };

    void reap(child& c, bool wait);

    std::map<std::string, child> m_children;
};

} // namespace eelgrassdoor::scenario
