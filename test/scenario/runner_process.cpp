#include "runner_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace eelgrassdoor::scenario {

process_table::~process_table() {
    for (auto& [name, c] : m_children) {
        if (!c.ended) {
            ::kill(c.pid, SIGKILL);
            reap(c, true);
        }
    }
}

bool process_table::start(const std::string& name, const std::string& program,
                          const std::vector<std::string>& arguments, const std::string& log_path) {
    std::vector<char*> argv{const_cast<char*>(program.c_str())};
    for (const std::string& a : arguments) {
        argv.push_back(const_cast<char*>(a.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    child c;
    const int failed =
        posix_spawn(&c.pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        return false;
    }
    m_children[name] = c;
    return true;
}

void process_table::signal(const std::string& name, int number) {
    const auto found = m_children.find(name);
    if (found != m_children.end() && !found->second.ended) {
        ::kill(found->second.pid, number);
    }
}

void process_table::reap(child& c, bool wait) {
    int status = 0;
    if (!c.ended && waitpid(c.pid, &status, wait ? 0 : WNOHANG) == c.pid) {
        c.ended = true;
        c.status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
}

bool process_table::ended(const std::string& name) {
    const auto found = m_children.find(name);
    if (found == m_children.end()) {
        return true;
    }
    reap(found->second, false);
    return found->second.ended;
}

int process_table::exit_status(const std::string& name) {
    return ended(name) ? m_children.at(name).status : -1;
}

void process_table::kill(const std::string& name) {
    const auto found = m_children.find(name);
    if (found != m_children.end() && !found->second.ended) {
        ::kill(found->second.pid, SIGKILL);
        reap(found->second, true);
    }
}

pid_t process_table::pid(const std::string& name) const {
    const auto found = m_children.find(name);
    return found == m_children.end() ? 0 : found->second.pid;
}

} // namespace eelgrassdoor::scenario
