#include "soak/child_process.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace eelgrassdoor::test {

void child_process::start(const child_command& command) {
    if (is_running()) {
        return;
    }
    std::vector<char*> arguments{const_cast<char*>(command.program.c_str())};
    for (const std::string& each : command.arguments) {
        arguments.push_back(const_cast<char*>(each.c_str()));
    }
    arguments.push_back(nullptr);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        for (const auto& [name, value] : command.environment) {
            ::setenv(name.c_str(), value.c_str(), 1);
        }
        const int out =
            ::open(command.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        // The connections of this program must not stay open in the process.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execv(command.program.c_str(), arguments.data());
        ::_exit(EXIT_FAILURE);
    }
}

void child_process::signal(int number) const {
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void child_process::kill() {
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool child_process::is_running() {
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

} // namespace eelgrassdoor::test
