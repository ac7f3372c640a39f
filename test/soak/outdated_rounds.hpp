/// \file
/// Defines releases that a single host does not learn of.
#pragma once

#include "base/random_source.hpp"
#include "soak/soak_clients.hpp"
#include "soak/soak_fleet.hpp"

#include <memory>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// Takes one entry host after the other out of step while engines of a version that no host has
/// listed before replace those of the only version known until then, and takes streams up at that
/// host. Each round has a service of its own, as hosts remember versions for longer than a run
/// lasts. Must outlive its rounds.
class outdated_rounds {
public:
    outdated_rounds(net::asio::io_context& loop, soak_fleet& fleet, soak_clients& clients,
                    std::uint64_t seed)
        : m_loop(loop), m_fleet(fleet), m_clients(clients), m_random(seed) {}

    /// Plays one round.
    net::task<> run_round();

private:
    /// How a host is taken out of step.
    struct fault {
        /// Its process stands still, for the first half if it is cut off as well.
        bool is_frozen = false;
        bool is_cut_from_store = false;
        bool is_cut_from_peers = false;
        duration time{};
    };

    fault draw_fault();
    net::task<> disturb(daemon_process& host, fault drawn);
    /// Keeps starting streams that move to \p host until \p end.
    net::task<> start_streams(std::string path, daemon_process& host, time_point end);
    /// Runs \p part beside this round, which waits for it in join().
    void begin(net::task<> part);
    net::task<> join();

    net::asio::io_context& m_loop;
    soak_fleet& m_fleet;
    soak_clients& m_clients;
    random_source m_random;
    int m_round = 0;
    int m_parts = 0;
    /// The engines of all rounds; those of past rounds have ended.
    std::vector<std::unique_ptr<engine_fleet>> m_engines;
};

} // namespace eelgrassdoor::test
