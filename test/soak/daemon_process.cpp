#include "soak/daemon_process.hpp"

#include "base/text.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::test {

namespace {

/// Ports of a daemon's address, counted from its first one. The first sixteen are its own.
constexpr int caller_port = 20;
constexpr int readiness_port = 21;
constexpr int control_port = 22;
constexpr int last_internal_port = 15;

} // namespace

daemon_process::daemon_process(daemon_spec spec, std::string program, std::string folder)
    : m_spec(std::move(spec)), m_program(std::move(program)), m_folder(std::move(folder)) {}

daemon_process::~daemon_process() {
    kill();
}

std::string daemon_process::caller_endpoint() const {
    return str_cat(m_spec.address, ":", m_spec.first_port + caller_port);
}

std::string daemon_process::readiness_endpoint() const {
    return str_cat(m_spec.address, ":", m_spec.first_port + readiness_port);
}

std::string daemon_process::control_endpoint() const {
    return str_cat(m_spec.address, ":", m_spec.first_port + control_port);
}

std::string daemon_process::settings(bool first_start) const {
    std::string out =
        str_cat("node=", m_spec.host, "\nip=", m_spec.address, "\nzone=", m_spec.availability_zone,
                "\nserves=", m_spec.serves_callers ? "edge,control" : "storage",
                "\ninternalPorts=", m_spec.first_port, ",", m_spec.first_port + last_internal_port);
    if (m_spec.serves_callers) {
        out += str_cat("\nlisten.front=", caller_endpoint(),
                       "\nlisten.readiness=", readiness_endpoint(),
                       "\nlisten.control=", control_endpoint());
    }
    out += str_cat("\nseeds=", str_join(m_spec.seeds, ","),
                   "\nbootstrap=", first_start ? "true" : "false",
                   "\nlimits.memoryMb=260\nlimits.maxFds=4100\nbounds.graceS=8",
                   "\nprovider.address=", m_spec.store, "\nprovider.ttlMinMs=1000\n");
    return out;
}

void daemon_process::start(bool first_start) {
    if (is_running()) {
        return;
    }
    const std::string file = str_cat(m_folder, "/", m_spec.host, ".conf");
    std::ofstream(file) << settings(first_start);
    const std::string log = str_cat(m_folder, "/", m_spec.host, ".log");
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("EELGRASSDOOR_NODE_FILE", file.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        // The connections of this program must not stay open in the daemon.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execl(m_program.c_str(), m_program.c_str(), static_cast<char*>(nullptr));
        ::_exit(EXIT_FAILURE);
    }
}

void daemon_process::signal(int number) const {
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void daemon_process::kill() {
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool daemon_process::is_running() {
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

} // namespace eelgrassdoor::test
