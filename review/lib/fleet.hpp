/// \file
/// Defines how the review's scripts start daemons of the deploy file and keep their record.
#pragma once

#include "net.hpp"

#include <fstream>
#include <mutex>
#include <random>
#include <signal.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// Writes record.txt, a line for each thing sent, answered or run, with the time in ms.
class recorder {
public:
    explicit recorder(const std::string& path) : m_file(path), m_start(now_ms()) {}

    void line(const std::string& text) {
        const std::lock_guard lock(m_mutex);
        m_file << now_ms() - m_start << " " << text << "\n";
        m_file.flush();
    }
    [[nodiscard]] std::int64_t time() const { return now_ms() - m_start; }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_start;
};

/// What a daemon is started with.
struct machine {
    std::string name;
    std::string zone;
    /// "edge" or "storage".
    std::string machine_class;
    std::string ip;
    int memory_mb = 260;
    endpoint front;
    endpoint readiness;
    endpoint control;
    int first_port = 0;
    endpoint store;
};

/// One process of the system, started with the command of the deploy file.
class process {
public:
    process(machine own, std::string program, std::string folder)
        : m_own(std::move(own)), m_program(std::move(program)), m_folder(std::move(folder)) {}
    ~process() { end(SIGKILL); }

    [[nodiscard]] const machine& own() const { return m_own; }
    [[nodiscard]] pid_t pid() const { return m_pid; }

    void start(const std::string& seeds, bool bootstrap) {
        const std::string file = m_folder + "/" + m_own.name + ".conf";
        std::ofstream(file) << settings(seeds, bootstrap);
        const std::string log = m_folder + "/" + m_own.name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            // The daemon ends with the script, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("EELGRASSDOOR_NODE_FILE", file.c_str(), 1);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(m_program.c_str(), m_program.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    void signal(int number) const {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    /// Sends a signal and waits until the process has ended.
    void end(int number) {
        if (m_pid > 0) {
            ::kill(m_pid, number);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    /// Whether the process has ended by itself; then it is gone.
    bool has_ended() {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        return false;
    }

    /// Resident memory in MB.
    [[nodiscard]] double memory_mb() const {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
    }

private:
    [[nodiscard]] std::string settings(const std::string& seeds, bool bootstrap) const {
        const bool is_edge = m_own.machine_class == "edge";
        std::ostringstream out;
        out << "node=" << m_own.name << "\nrole=" << (is_edge ? "entry" : "jobs")
            << "\nmachineClass=" << m_own.machine_class
            << "\nserves=" << (is_edge ? "edge,control" : "storage") << "\nip=" << m_own.ip
            << "\nzone=" << m_own.zone << "\nregion=r\n";
        for (const char* const zone : {"zone-a", "zone-b"}) {
            out << "zones." << zone << "=r\n";
        }
        if (is_edge) {
            out << "listen.front=" << m_own.front.text()
                << "\nlisten.readiness=" << m_own.readiness.text()
                << "\nlisten.control=" << m_own.control.text() << "\n";
        }
        out << "internalPorts=" << m_own.first_port << "," << m_own.first_port + 15
            << "\nseeds=" << seeds << "\nbootstrap=" << (bootstrap ? "true" : "false")
            << "\ncountsTowardLoss=" << (is_edge ? "false" : "true")
            << "\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=" << m_own.memory_mb
            << "\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0"
            << "\ndiscovery=platform\nentry=vip\nheartbeatMs=1200"
            << "\ncontracts=base,drain,config,cost,recover,batch,stream,engine,tenants,quota,"
               "platform"
            << "\nfaultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0"
            << "\nbounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000"
            << "\nbounds.ackMs=4000\nbounds.catchUpS=4.7\nbounds.drainMs=2000\nbounds.graceS=8"
            << "\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000"
            << "\nbounds.rollbackSlackMs=250\nbounds.skewMaxMs=5000\nbounds.strictRevoke=false"
            << "\nbounds.revokeMs=5000\nbounds.quotaWindowS=5\nbounds.quotaOverage=0.1"
            << "\nbounds.quotaSlack=20\nbounds.recoveryS=12\nbounds.passMs=120"
            << "\nbounds.retryAfterS=0\nbounds.finishS=18\nbounds.statusS=120"
            << "\nbounds.cancelMs=3000\nbounds.settleMs=1000\nprovider.address="
            << m_own.store.text()
            << "\nprovider.form=kv\nprovider.writesPerS=400\nprovider.readsPerS=2000"
            << "\nprovider.historyS=20\nprovider.valueBytes=1048576\nprovider.ttlMinMs=1000\n";
        return out.str();
    }

    machine m_own;
    std::string m_program;
    std::string m_folder;
    pid_t m_pid = -1;
};

/// Lays out machines on loopback addresses that no other run uses.
class address_plan {
public:
    address_plan() {
        std::random_device device;
        m_net = "127." + std::to_string(20 + device() % 200) + "." +
                std::to_string(1 + device() % 250) + ".";
        m_first_port = 20000 + static_cast<int>(device() % 20000);
    }

    machine add(const std::string& name, const std::string& zone, const std::string& machine_class,
                const endpoint& store) {
        machine out;
        out.name = name;
        out.zone = zone;
        out.machine_class = machine_class;
        out.memory_mb = machine_class == "edge" ? 260 : 290;
        out.ip = m_net + std::to_string(++m_last);
        out.front = {out.ip, m_first_port + 20};
        out.readiness = {out.ip, m_first_port + 21};
        out.control = {out.ip, m_first_port + 22};
        out.first_port = m_first_port;
        out.store = store;
        if (!m_seeds.empty()) {
            m_seeds += ",";
        }
        if (machine_class == "edge" && m_seed_count < 3) {
            m_seeds += out.control.text();
            ++m_seed_count;
        } else if (!m_seeds.empty()) {
            m_seeds.pop_back();
        }
        return out;
    }
    [[nodiscard]] const std::string& seeds() const { return m_seeds; }

private:
    std::string m_net;
    int m_first_port = 0;
    int m_last = 0;
    int m_seed_count = 0;
    std::string m_seeds;
};

/// Waits until the daemon's readiness address answers 200.
inline bool wait_ready(const machine& own, std::int64_t timeout_ms) {
    const std::int64_t end = now_ms() + timeout_ms;
    while (now_ms() < end) {
        if (const connection_ptr to = dial(own.readiness, 200)) {
            to->write(encode_request("GET", "/eelgrassdoor/ready", {{"Host", own.ip}}, ""));
            const auto head = read_head(*to, now_ms() + 1000);
            if (head && head->status == 200) {
                return true;
            }
        }
        sleep_ms(50);
    }
    return false;
}

inline std::string random_id(std::mt19937_64& random) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

} // namespace review
