#include "soak/daemon_process.hpp"

#include "base/text.hpp"

#include <fstream>
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
    out += str_cat(
        "\nseeds=", str_join(m_spec.seeds, ","), "\nbootstrap=", first_start ? "true" : "false",
        "\nlimits.memoryMb=", m_spec.memory_mb, "\nlimits.maxFds=", m_spec.max_files,
        "\nbounds.graceS=8", "\nprovider.address=", m_spec.store, "\nprovider.ttlMinMs=1000\n");
    return out;
}

void daemon_process::start(bool first_start) {
    if (is_running()) {
        return;
    }
    const std::string file = str_cat(m_folder, "/", m_spec.host, ".conf");
    std::ofstream(file) << settings(first_start);
    m_process.start({.program = m_program,
                     .environment = {{"EELGRASSDOOR_NODE_FILE", file}},
                     .log = str_cat(m_folder, "/", m_spec.host, ".log")});
}

} // namespace eelgrassdoor::test
