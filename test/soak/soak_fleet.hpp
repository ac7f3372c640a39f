/// \file
/// Defines the fleet of a soak: daemons as processes, and a store and engines in this process.
#pragma once

#include "base/random_source.hpp"
#include "soak/daemon_process.hpp"
#include "soak/engine_cut.hpp"
#include "soak/store_server.hpp"
#include "stand_in/scripted_engine.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// Engines of the current version, and of the one before while that is replaced.
struct soak_engine {
    std::string id;
    std::string version;
    std::string availability_zone;
    /// `IP:PORT` at which daemons reach it.
    std::string endpoint;
    std::unique_ptr<scripted_engine> server;
};

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
    soak_fleet(net::asio::io_context& loop, random_source& random, std::string program,
               std::string folder);

    /// Puts proxies in front of the engines, for cut(). Must be called before start().
    void enable_cuts() { m_cut = std::make_unique<engine_cut>(m_loop.get_executor()); }
    [[nodiscard]] bool has_cuts() const { return m_cut != nullptr; }
    /// Cuts hosts off from all engines for a while, or makes their present connections silent.
    net::task<> cut(std::vector<daemon_process*> hosts, cut_mode mode, duration time);
    [[nodiscard]] const std::vector<cut_window>& cuts() const { return m_cuts; }
    /// Whether a cut is in progress.
    [[nodiscard]] bool is_cut() const {
        return !m_cuts.empty() && m_cuts.back().ends_at == time_point::max();
    }

    /// Starts all daemons. Returns false when they do not become ready.
    net::task<bool> start();
    /// Replaces all engines of the current version by those of a new one, one after the other: the
    /// new one starts first, then the old one drains.
    net::task<> release();
    /// Takes all engines out of the store at once and enters as many others.
    void replace_engines();
    /// Ends a daemon as planned, or at once after the grace, and starts it again.
    net::task<> restart(daemon_process& daemon);
    /// Kills daemons at the same moment and starts them again after \p pause.
    net::task<> kill_all(std::vector<daemon_process*> daemons, duration pause);
    /// Stops a daemon's process for a while.
    net::task<> freeze(daemon_process& daemon, duration pause);
    /// Writes another version of the configuration, with other timeouts and limits.
    void change_configuration();
    /// Makes the engines pause in, delay or break off a part of their answers from now on, or none.
    void set_trouble(bool trouble);
    /// Number of requests that engines have begun to run.
    [[nodiscard]] std::size_t started_runs() const;
    /// Whether a daemon was stopped, killed, frozen or started since some seconds before \p time.
    [[nodiscard]] bool was_disturbed(const daemon_process& daemon, time_point time) const;
    /// Whether the host was cut off from all engines.
    [[nodiscard]] bool was_cut(const daemon_process& daemon, time_point time) const;
    /// Whether neither \p daemon nor the store was disturbed since some seconds before \p time, and
    /// some entry host has been free of disturbances and cuts for as long.
    [[nodiscard]] bool can_serve(const daemon_process& daemon, time_point time) const;
    /// How often engines have begun to run each path that begins with \p prefix.
    [[nodiscard]] std::map<std::string, int> runs_by_path(std::string_view prefix) const;
    /// Puts the store into a state for a while.
    net::task<> disturb_store(store_state state, duration time);

    [[nodiscard]] std::vector<daemon_process*> entry_hosts() const { return select(true); }
    [[nodiscard]] std::vector<daemon_process*> job_hosts() const { return select(false); }
    [[nodiscard]] std::vector<daemon_process*> all_hosts() const;
    /// Whether engines are being replaced.
    [[nodiscard]] bool is_releasing() const { return m_releasing; }
    /// Starts daemons that have ended by themselves. Returns their number.
    int restart_ended();

    static constexpr std::uint64_t events_per_stream = 40;
    /// Begins the paths of requests that may not be repeated.
    static constexpr std::string_view once_path = "/u/";

    net::task<> wait(duration time);

private:
    [[nodiscard]] std::vector<daemon_process*> select(bool serves_callers) const;
    void add_daemon(const std::string& host, const std::string& zone, bool serves_callers);
    void add_engine(const std::string& zone);
    void mark_disturbed(const daemon_process& daemon) { m_disturbed[&daemon] = steady_clock()(); }
    void write_entry(const soak_engine& engine, const std::string& state);
    net::task<bool> is_ready(std::string endpoint);

    net::asio::io_context& m_loop;
    std::string m_program;
    std::string m_folder;
    std::string m_network;
    int m_first_port = 0;
    std::string m_store_endpoint;
    store_server m_store;
    std::vector<std::unique_ptr<daemon_process>> m_daemons;
    std::vector<std::string> m_seeds;
    /// Engines are kept to the end, as they go on for a while after they have left.
    std::vector<std::unique_ptr<soak_engine>> m_engines;
    /// Unset without cuts.
    std::unique_ptr<engine_cut> m_cut;
    std::vector<cut_window> m_cuts;
    time_point m_store_disturbed = time_point::min();
    /// Daemons that are down on purpose.
    std::vector<daemon_process*> m_down;
    /// When each daemon was last signalled or started.
    std::map<const daemon_process*, time_point> m_disturbed;
    random_source& m_random;
    int m_version = 1;
    int m_configuration = 0;
    bool m_trouble = false;
    bool m_releasing = false;
};

} // namespace eelgrassdoor::test
