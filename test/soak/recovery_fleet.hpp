/// \file
/// Defines the fleet of a recovery soak and what can be done to it.
#pragma once

#include "base/random_source.hpp"
#include "soak/daemon_process.hpp"
#include "soak/recovery_engine.hpp"
#include "soak/store_server.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// Four zones with 3, 3, 1 and 1 entry hosts, one host for jobs and some engines each: the sizes of
/// a deployment. Not thread-safe: everything runs on one event loop.
class recovery_fleet {
public:
    /// \p conditions names what the fault does besides killing the entry hosts; see
    /// recovery_soak.cpp.
    recovery_fleet(net::asio::io_context& loop, random_source& random, std::string program,
                   std::string folder, std::set<std::string> conditions);

    /// Starts everything. Returns false when the entry hosts do not become ready.
    net::task<bool> start();
    /// Carries out the fault and what the conditions say of the return.
    net::task<> fail();
    /// An entry host to which the platform would forward a connection from \p zone.
    [[nodiscard]] daemon_process& choose_host(const std::string& zone);
    /// Starts daemons that have ended by themselves. Returns their number.
    int restart_ended();

    [[nodiscard]] bool has(const std::string& condition) const {
        return m_conditions.contains(condition);
    }
    [[nodiscard]] const std::vector<std::string>& zones() const { return m_zones; }
    [[nodiscard]] int engine_load() const;
    [[nodiscard]] int engine_runs() const;
    /// Number of entry hosts that count as ready.
    [[nodiscard]] int ready_hosts() const;
    net::task<> wait(duration time);
    void spawn(net::task<> work);

    static constexpr int customers = 8;
    /// Requests a second of all customers together, at the mean.
    static constexpr double mean_rate = 45;

private:
    struct host {
        std::unique_ptr<daemon_process> daemon;
        int missed_checks = 0;
        /// Whether the daemon is down on purpose.
        bool is_down = false;
        bool is_gone = false;
        /// Whether the daemon gets a quarter of a processor in slices.
        bool is_throttled = false;
    };

    host& add_host(const std::string& zone, bool serves_callers);
    void add_engine(const std::string& zone);
    void write_entry(const recovery_engine& engine);
    void write_configuration(double rate_factor);
    net::task<> check_readiness(host& each);
    net::task<> throttle(host& each);
    net::task<> return_hosts(std::vector<host*> hosts);
    net::task<> return_engines();
    net::task<> crash_engines();
    /// Ends an engine soon after each start, some times.
    net::task<> restart_often(recovery_engine& engine);

    net::asio::io_context& m_loop;
    random_source& m_random;
    std::string m_program;
    std::string m_folder;
    std::set<std::string> m_conditions;
    std::string m_network;
    int m_first_port = 0;
    std::string m_store_endpoint;
    store_server m_store;
    std::vector<std::string> m_zones{"a", "b", "c", "d"};
    std::vector<std::string> m_seeds;
    /// Hosts and engines that are replaced stay to the end.
    std::vector<std::unique_ptr<host>> m_hosts;
    std::vector<std::unique_ptr<recovery_engine>> m_engines;
    /// Other programs on the daemons' ports.
    std::vector<std::unique_ptr<net::http_server>> m_others;
    int m_version = 10;
};

} // namespace eelgrassdoor::test
