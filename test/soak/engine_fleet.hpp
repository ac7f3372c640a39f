/// \file
/// Defines the engines of a soak, which are processes.
#pragma once

#include "base/random_source.hpp"
#include "soak/child_process.hpp"
#include "soak/engine_cut.hpp"
#include "soak/engine_options.hpp"
#include "soak/request_log.hpp"
#include "stand_in/memory_store.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// How an engine ends before it returns as a new start under its id and address.
enum class restart_kind {
    /// Its entry says `draining`, and it announces its end, some time before.
    planned,
    /// It is killed without a word.
    killed,
    /// It is killed, its entry is removed, and it is back after seconds.
    absent,
};

/// Starts and ends engines and writes their entries into the store. Not thread-safe: everything
/// runs on one event loop.
class engine_fleet {
public:
    /// Where engines are found and what they leave behind.
    struct options {
        /// Path of the program soak_engine.
        std::string program;
        /// Takes logs and the record of requests.
        std::string folder;
        /// The first three numbers of all addresses, with a dot behind each.
        std::string network;
        int first_port = 0;
        std::uint64_t seed = 0;
        /// The service that the entries name, and what their ids begin with.
        std::string service = "s";
        std::string id_prefix = "i-";
        /// Number of engines, and the version of the first ones.
        std::size_t engine_count = 4;
        int first_version = 1;
    };

    engine_fleet(net::asio::any_io_executor executor, memory_store& store, options options);

    /// Puts proxies in front of the engines. Must be called before start().
    void set_cut(engine_cut& cut) { m_cut = &cut; }

    /// Makes engines behave in this way. Must be called before start().
    void set_behaviour(const engine_behaviour& behaviour) { m_behaviour = behaviour; }
    /// Makes engines end once they have been replaced. Must be called before start().
    void enable_ends() { m_ends_replaced = true; }

    /// Starts the first engines.
    net::task<> start();
    /// Replaces all engines of the current version by those of a new one, one after the other: the
    /// new one starts first, then the old one drains.
    net::task<> release();
    /// Restarts all engines in place, most of them with the next version, at some distance or all
    /// at once.
    net::task<> release_in_place(restart_kind kind);
    /// Restarts one engine in place, with its version or the next one.
    net::task<> restart_one(restart_kind kind);
    /// Takes all engines out of the store at once and enters as many others.
    net::task<> replace();
    /// Takes all engines out of the store and ends them, for good.
    void end_all();
    /// Makes the engines pause in, delay or break off a part of their answers from now on, or none.
    void set_trouble(bool trouble);
    /// Whether engines are being replaced.
    [[nodiscard]] bool is_releasing() const { return m_releasing; }
    /// Number of engines that have ended by themselves.
    [[nodiscard]] int ended();
    [[nodiscard]] request_log& requests() { return m_requests; }

private:
    struct engine {
        std::string id;
        std::string version;
        std::string availability_zone;
        /// `IP:PORT` at which daemons reach it, and on which it listens.
        std::string endpoint;
        std::string own_endpoint;
        std::uint64_t started_at = 0;
        child_process process;
        /// Whether it has listened since its last start, and may be signalled.
        bool is_up = false;
        bool is_restarting = false;
    };

    [[nodiscard]] std::string request_log_path() const {
        return m_options.folder + "/requests.log";
    }
    /// The engines of the current version.
    [[nodiscard]] std::vector<engine*> current() const;
    /// Starts another engine and enters it into the store.
    net::task<> add(std::string zone);
    /// Starts the engine's process and waits until it listens.
    net::task<> start(engine& engine);
    /// Ends the engine and starts it again with \p version. The store has its old entry until some
    /// time after its return.
    net::task<> restart(engine& engine, restart_kind kind, std::string version);
    net::task<> wait_for_restarts();
    /// Ends the engine's process if replaced engines end.
    void end(engine& engine);
    void write_entry(const engine& engine, const std::string& state);
    net::task<> wait(duration time);
    /// Waits for a random time below \p longest.
    net::task<> wait_up_to(duration longest);

    net::asio::any_io_executor m_executor;
    memory_store& m_store;
    options m_options;
    random_source m_random;
    request_log m_requests;
    /// Unset without cuts.
    engine_cut* m_cut = nullptr;
    /// Engines are kept to the end, as they go on for a while after they have left.
    std::vector<std::unique_ptr<engine>> m_engines;
    engine_behaviour m_behaviour;
    bool m_ends_replaced = false;
    int m_version;
    bool m_trouble = false;
    bool m_releasing = false;
    /// Whether the release brings new ids; then no single engine restarts.
    bool m_replacing = false;
};

} // namespace eelgrassdoor::test
