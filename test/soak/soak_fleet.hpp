/// \file
/// Defines the fleet of a soak: daemons and engines as processes, and a store in this process.
#pragma once

#include "base/random_source.hpp"
#include "soak/daemon_process.hpp"
#include "soak/engine_cut.hpp"
#include "soak/engine_fleet.hpp"
#include "soak/store_server.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// Hosts that were cut off from all engines, and when. The end is not known during the cut.
struct cut_window {
    std::vector<daemon_process*> hosts;
    cut_mode mode = cut_mode::hang;
    time_point begins_at;
    time_point ends_at = time_point::max();
};

/// Starts two zones with two entry hosts and one host for jobs each, and four engines. Not
/// thread-safe: everything runs on one event loop.
class soak_fleet {
public:
    /// \param cuts_store whether cut_store() can be called: a proxy stands in front of the store.
    soak_fleet(net::asio::io_context& loop, random_source& random, std::string program,
               std::string folder, bool cuts_store = false);

    /// Puts proxies in front of the engines, for cut() and end_connections(). Must be called before
    /// start().
    void enable_cuts();
    [[nodiscard]] bool has_cuts() const { return m_cut != nullptr; }
    /// Cuts hosts off from all engines for a while, or makes their present connections silent.
    net::task<> cut(std::vector<daemon_process*> hosts, cut_mode mode, duration time);
    /// Ends connections of hosts to the engines in order; see engine_cut. Nothing is cut off then.
    int end_connections(const std::vector<daemon_process*>& hosts, cut_mode mode,
                        std::uint64_t seed) {
        return m_cut->end_connections(hosts, mode, seed);
    }
    [[nodiscard]] const std::vector<cut_window>& cuts() const { return m_cuts; }
    /// Whether a cut is in progress.
    [[nodiscard]] bool is_cut() const {
        return !m_cuts.empty() && m_cuts.back().ends_at == time_point::max();
    }

    /// Starts all daemons. Returns false when they do not become ready.
    net::task<bool> start();
    /// Ends a daemon as planned, or at once after the grace, and starts it again.
    net::task<> restart(daemon_process& daemon);
    /// Kills daemons at the same moment and starts them again after \p pause.
    net::task<> kill_all(std::vector<daemon_process*> daemons, duration pause);
    /// Stops a daemon's process for a while.
    net::task<> freeze(daemon_process& daemon, duration pause);
    /// Leaves a daemon's calls to the store without an answer for a while; one daemon at a time.
    net::task<> cut_store(daemon_process& daemon, duration time);
    /// Drops the datagrams between a daemon and the others for a while; one daemon at a time.
    /// Processes that start meanwhile are not cut off.
    net::task<> cut_peers(daemon_process& daemon, duration time);
    /// Writes another version of the configuration, with other timeouts and limits.
    void change_configuration();
    [[nodiscard]] engine_fleet& engines() { return m_engines; }
    /// Returns two engines of a service of their own that are to be started, and configures a route
    /// of resumable streams to it, `/NAME/`.
    std::unique_ptr<engine_fleet> add_service(const std::string& name, int first_version);
    /// Whether a daemon was stopped, killed, frozen or started since some seconds before \p time.
    [[nodiscard]] bool was_disturbed(const daemon_process& daemon, time_point time) const;
    /// Whether the host was cut off from all engines.
    [[nodiscard]] bool was_cut(const daemon_process& daemon, time_point time) const;
    /// Whether neither \p daemon nor the store was disturbed since some seconds before \p time, and
    /// some entry host has been free of disturbances and cuts for as long.
    [[nodiscard]] bool can_serve(const daemon_process& daemon, time_point time) const;
    /// Puts the store into a state for a while.
    net::task<> disturb_store(store_state state, duration time);

    [[nodiscard]] std::vector<daemon_process*> entry_hosts() const { return select(true); }
    [[nodiscard]] std::vector<daemon_process*> job_hosts() const { return select(false); }
    [[nodiscard]] std::vector<daemon_process*> all_hosts() const;
    /// Starts daemons that have ended by themselves. Returns their number.
    int restart_ended();

    net::task<> wait(duration time);

private:
    [[nodiscard]] std::vector<daemon_process*> select(bool serves_callers) const;
    [[nodiscard]] engine_fleet::options engine_options();
    void add_daemon(const std::string& host, const std::string& zone, bool serves_callers);
    void mark_disturbed(const daemon_process& daemon) { m_disturbed[&daemon] = steady_clock()(); }
    net::task<bool> is_ready(std::string endpoint);

    net::asio::io_context& m_loop;
    random_source& m_random;
    std::string m_program;
    std::string m_folder;
    std::string m_network;
    int m_first_port = 0;
    /// `IP:PORT` at which daemons reach the store, and on which it listens.
    std::string m_store_endpoint;
    std::string m_own_store_endpoint;
    store_server m_store;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::vector<std::string> m_seeds;
    /// Unset without cuts.
    std::unique_ptr<engine_cut> m_cut;
    /// Unset without cuts from the store.
    std::unique_ptr<engine_cut> m_store_cut;
    engine_fleet m_engines;
    /// Names of the services besides that of m_engines.
    std::vector<std::string> m_services;
    std::vector<cut_window> m_cuts;
    time_point m_store_disturbed = time_point::min();
    /// Daemons that are down on purpose.
    std::vector<daemon_process*> m_down;
    /// When each daemon was last signalled or started.
    std::map<const daemon_process*, time_point> m_disturbed;
    int m_configuration = 0;
};

} // namespace eelgrassdoor::test
