/// \file
/// Runs daemons as processes, disturbs them in a random order that the seed decides, and checks
/// that streams and texts have each event once and in order and that service is back after the last
/// fault.
///
/// usage: fleet_soak PROGRAM FOLDER SEED SECONDS [CONDITIONS]
///
/// CONDITIONS is hang, reset, refuse, silence (see cut_mode) or, for all of them in turn, cuts:
/// engines stand behind proxies that cut entry hosts of one zone off, and the hosts must go on
/// serving. With ends, the proxies end all connections of some hosts in order, with ends-half a
/// random half of them, and new ones work; engines behave as with restarts, but do not end. With
/// restarts, engines end,
/// planned or killed, and most return under their ids and addresses with another software version;
/// a part of the responses is unframed, and some pause for longer than callers wait. With
/// restarts-framed no response is unframed; with restarts-cuts hosts are cut off, too, with
/// restarts-ends connections end. With outdated, one entry host after the other is out of step
/// while a first new version joins a service, a service of its own each time, and streams are taken
/// up at that host; see outdated_rounds. Without it nothing is cut off and no engine ends.
#include "base/text.hpp"
#include "check.hpp"
#include "soak/outdated_rounds.hpp"
#include "soak/run_soak.hpp"
#include "soak/soak_clients.hpp"
#include "soak/soak_conditions.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::test;

/// Streams that may hold events of two versions.
constexpr int allowed_mixed_streams = 2;
/// Requests that one host may lose.
constexpr int allowed_lost_requests = 3;
/// Time after the return of the daemons from which service must be back, and for which it is
/// measured then.
constexpr duration recovery_time = seconds(12);
constexpr duration measured_time = seconds(6);
constexpr duration settle_time = seconds(3);
constexpr duration end_timeout = seconds(45);
/// Time between cuts, and of a cut; both are longer by a random part.
constexpr duration cut_interval = milliseconds(500);
constexpr duration cut_time = seconds(3);
/// Seeds of a run's random sources, apart from each other.
constexpr std::uint64_t cut_seed_offset = 2;
constexpr std::uint64_t restart_seed_offset = 3;
constexpr std::uint64_t outdated_seed_offset = 4;
/// Time between two releases or restarts of engines; longer by a random part.
constexpr duration restart_interval = milliseconds(300);

/// Callers of a run in which engines restart or connections end; fewer, as engines are away.
constexpr traffic_options restart_traffic{.stream_interval = milliseconds(80),
                                          .job_interval = seconds(1),
                                          .kept_clients = 10,
                                          .long_job_interval = seconds(8),
                                          .once_stream_interval = milliseconds(400),
                                          .patience = seconds(2)};

class soak {
public:
    soak(net::asio::io_context& loop, std::string program, std::string folder, std::uint64_t seed,
         duration time, soak_conditions conditions)
        : m_loop(loop), m_seed(seed), m_random(seed),
          // What clients draw depends on the moment and must not change the disturbances.
          m_traffic_random(seed + 1), m_cut_random(seed + cut_seed_offset),
          m_restart_random(seed + restart_seed_offset), m_time(time),
          m_cuts(std::move(conditions.cuts)), m_behaviour(conditions.behaviour),
          m_restarts(conditions.restarts), m_outdated(conditions.outdated),
          m_fleet(loop, m_traffic_random, std::move(program), std::move(folder), m_outdated),
          m_clients(loop, m_traffic_random, m_fleet,
                    m_behaviour ? restart_traffic : traffic_options()),
          m_outdated_rounds(loop, m_fleet, m_clients, seed + outdated_seed_offset) {}

    net::task<> run() {
        if (!m_cuts.empty()) {
            m_fleet.enable_cuts();
        }
        if (m_behaviour) {
            m_fleet.engines().set_behaviour(*m_behaviour);
        }
        if (m_restarts) {
            m_fleet.engines().enable_ends();
        }
        const bool started = co_await m_fleet.start();
        require(started, "the daemons become ready");
        if (!started) {
            co_return;
        }
        co_await m_fleet.wait(settle_time);
        m_clients.start();
        co_await m_fleet.wait(settle_time);
        const time_point end = steady_clock()() + m_time;
        net::asio::co_spawn(m_loop, cut_hosts(end), net::asio::detached);
        if (m_restarts) {
            net::asio::co_spawn(m_loop, restart_engines(end), net::asio::detached);
        }
        if (m_outdated) {
            net::asio::co_spawn(m_loop, play_outdated(end), net::asio::detached);
        }
        while (steady_clock()() < end) {
            net::asio::co_spawn(m_loop, disturb(), net::asio::detached);
            m_ended += m_fleet.restart_ended();
            co_await m_fleet.wait(milliseconds(300 + m_random.next() % 2500));
        }
        co_await check_recovery();
        m_clients.stop();
        const time_point limit = steady_clock()() + end_timeout;
        while (!m_clients.is_idle() && steady_clock()() < limit) {
            co_await m_fleet.wait(milliseconds(100));
        }
        report();
    }

private:
    /// Cuts some or all entry hosts of a zone off from the engines, or ends connections of theirs
    /// and of the host for jobs, again and again until \p end.
    net::task<> cut_hosts(time_point end) {
        ++m_disturbances;
        for (std::size_t i = 0; !m_cuts.empty() && steady_clock()() < end; ++i) {
            co_await m_fleet.wait(cut_interval + milliseconds(m_cut_random.next() % 1500));
            const cut_mode mode = m_cuts[i % m_cuts.size()];
            const std::string zone = m_cut_random.next() % 2 == 0 ? "a" : "b";
            std::vector<daemon_process*> hosts =
                ends_connections(mode) ? m_fleet.all_hosts() : m_fleet.entry_hosts();
            std::erase_if(hosts, [&](const daemon_process* each) {
                return each->spec().availability_zone != zone;
            });
            if (m_cut_random.next() % 2 == 0) {
                hosts.erase(hosts.begin() + m_cut_random.next() % 2);
            }
            if (ends_connections(mode)) {
                const int ended = m_fleet.end_connections(hosts, mode, m_cut_random.next());
                note(str_cat(ended, " connections of ", hosts.size(), " hosts end, ",
                             mode == cut_mode::end_half ? "half" : "all", ", the first host ",
                             hosts.front()->spec().host));
                continue;
            }
            const duration time = cut_time + milliseconds(m_cut_random.next() % 6000);
            note(str_cat("cut ", static_cast<int>(mode), " of ", hosts.size(),
                         " hosts, the first one ", hosts.front()->spec().host, ", for ",
                         to_ms(time), " ms"));
            co_await m_fleet.cut(hosts, mode, time);
        }
        --m_disturbances;
    }

    /// Plays rounds with hosts out of step until \p end.
    net::task<> play_outdated(time_point end) {
        ++m_disturbances;
        while (steady_clock()() < end) {
            co_await m_outdated_rounds.run_round();
        }
        --m_disturbances;
    }

    /// Releases versions and restarts engines until \p end.
    net::task<> restart_engines(time_point end) {
        ++m_disturbances;
        while (steady_clock()() < end) {
            net::asio::co_spawn(m_loop, disturb_engines(), net::asio::detached);
            co_await m_fleet.wait(restart_interval + milliseconds(m_restart_random.next() % 2500));
        }
        --m_disturbances;
    }

    /// Releases a version; \p kind is for runs in which engines restart.
    net::task<> release(restart_kind kind) {
        if (m_restarts) {
            co_await m_fleet.engines().release_in_place(kind);
        } else {
            co_await m_fleet.engines().release();
        }
    }

    net::task<> disturb_engines() {
        ++m_disturbances;
        const std::uint64_t kind = m_restart_random.next() % 8;
        note(str_cat("restart of engines ", kind));
        engine_fleet& engines = m_fleet.engines();
        switch (kind) {
        case 0:
            co_await engines.release();
            break;
        case 1:
        case 2:
            co_await engines.release_in_place(restart_kind::planned);
            break;
        case 3:
        case 4:
            co_await engines.release_in_place(restart_kind::killed);
            break;
        case 5:
            co_await engines.restart_one(restart_kind::planned);
            break;
        case 6:
            co_await engines.restart_one(restart_kind::absent);
            break;
        default:
            co_await engines.restart_one(restart_kind::killed);
            break;
        }
        --m_disturbances;
    }

    /// Waits until disturbances have ended, takes the service away as a whole, and measures what is
    /// served some time after its return.
    net::task<> check_recovery() {
        while (m_disturbances > 0) {
            co_await m_fleet.wait(milliseconds(100));
        }
        m_fault_at = steady_clock()();
        const std::uint64_t kind = m_random.next() % 5;
        const duration pause = milliseconds(1000 + m_random.next() % 5000);
        note(str_cat("final fault ", kind, " for ", to_ms(pause), " ms"));
        const std::vector<daemon_process*> all = m_fleet.all_hosts();
        if (kind == 0) {
            const std::vector<daemon_process*> entry_hosts = m_fleet.entry_hosts();
            co_await m_fleet.kill_all(entry_hosts, pause);
        } else if (kind == 1) {
            co_await m_fleet.kill_all(all, pause);
        } else if (kind == 2) {
            for (daemon_process* each : all) {
                each->signal(SIGSTOP);
            }
            co_await m_fleet.wait(pause);
            for (daemon_process* each : all) {
                each->signal(SIGCONT);
            }
        } else if (kind == 3) {
            co_await m_fleet.kill_all(all, pause);
            co_await m_fleet.engines().replace();
        } else {
            net::asio::co_spawn(m_loop, m_fleet.disturb_store(store_state::silent, pause),
                                net::asio::detached);
            co_await m_fleet.kill_all(all, pause);
        }
        co_await m_fleet.wait(recovery_time);
        m_recovered_at = steady_clock()();
        const soak_counts before = m_clients.counts();
        co_await m_fleet.wait(measured_time);
        const soak_counts& after = m_clients.counts();
        const int streams = after.streams - before.streams;
        const int whole = after.whole_streams - before.whole_streams;
        note(str_cat("after the final fault ", whole, " of ", streams, " streams whole"));
        require(4 * whole >= streams && streams > 0, "service is back after the final fault");
    }

    net::task<> disturb() {
        ++m_disturbances;
        const std::vector<daemon_process*> all = m_fleet.all_hosts();
        const std::vector<daemon_process*> entry_hosts = m_fleet.entry_hosts();
        daemon_process& one = *all[m_random.next() % all.size()];
        const duration pause = milliseconds(200 + m_random.next() % 3000);
        // Each third seed leaves the daemons alone.
        const std::uint64_t kinds = m_seed % 3 == 0 ? 7 : 12;
        std::uint64_t kind = m_random.next() % kinds;
        if (m_fleet.is_cut() && (kind == 5 || kind == 6)) {
            // The rule holds while the store is sound.
            kind = 2;
        }
        note(str_cat("disturbance ", kind, " at ", one.spec().host, " for ", to_ms(pause), " ms"));
        switch (kind) {
        case 0:
        case 1:
            co_await release(kind == 0 ? restart_kind::planned : restart_kind::killed);
            break;
        case 2:
        case 3:
            m_fleet.change_configuration();
            break;
        case 4:
            m_fleet.engines().set_trouble(true);
            co_await m_fleet.wait(2 * pause);
            m_fleet.engines().set_trouble(false);
            break;
        case 5:
            co_await m_fleet.disturb_store(store_state::slow, pause);
            break;
        case 6:
            co_await m_fleet.disturb_store(
                m_random.next() % 2 == 0 ? store_state::refusing : store_state::silent, pause);
            break;
        case 7:
        case 8:
            co_await m_fleet.restart(one);
            break;
        case 9: {
            const std::vector<daemon_process*> killed{&one};
            co_await m_fleet.kill_all(killed, pause);
            break;
        }
        case 10:
            co_await m_fleet.kill_all(entry_hosts, pause / 3);
            break;
        default:
            co_await m_fleet.freeze(one, pause);
            break;
        }
        --m_disturbances;
    }

    void note(const std::string& text) const {
        std::printf("%8.1f s: %s\n", to_seconds(steady_clock()() - m_start), text.c_str());
    }

    void report() {
        const soak_counts& counts = m_clients.counts();
        std::printf("streams: %d, whole: %d, taken up: %d, of two versions: %d; jobs accepted: %d, "
                    "finished: %d; daemons ended by themselves: %d\n",
                    counts.streams, counts.whole_streams, counts.resumed_streams,
                    counts.mixed_streams, counts.accepted_jobs, counts.finished_jobs, m_ended);
        std::printf(
            "streams that may not be resumed: %d, whole: %d; given up: %d; texts: %d, long: "
            "%d\n",
            counts.once_streams, counts.whole_once_streams, counts.given_up_streams, counts.texts,
            counts.long_texts);
        std::printf("kept connections: %d requests, %d answered\n", counts.kept_requests,
                    counts.answered_kept_requests);
        if (m_outdated) {
            std::printf("streams that moved to hosts out of step: %d, taken up: %d\n",
                        counts.moved_streams, counts.resumed_moved_streams);
            require(counts.resumed_moved_streams > 0, "streams move to hosts out of step");
        }
        for (const std::string& fault : counts.faults) {
            require(false, fault);
        }
        for (const auto& [host, lost] : counts.lost_requests) {
            std::printf("%s lost %d requests\n", host.c_str(), lost);
            require(lost <= allowed_lost_requests, str_cat(host, " lost ", lost, " requests"));
        }
        m_clients.tries().check_cuts(m_fleet.cuts());
        m_clients.tries().check_recovery(m_fault_at, m_recovered_at);
        m_clients.check_single_runs();
        require(counts.mixed_streams <= allowed_mixed_streams,
                str_cat("streams of two versions: ", counts.mixed_streams));
        require(m_ended == 0, "no daemon ends by itself");
        require(m_fleet.engines().ended() == 0, "no engine ends by itself");
        require(counts.whole_streams > 0 && counts.finished_jobs > 0,
                "streams and jobs are served");
    }

    net::asio::io_context& m_loop;
    std::uint64_t m_seed;
    random_source m_random;
    random_source m_traffic_random;
    random_source m_cut_random;
    random_source m_restart_random;
    duration m_time;
    std::vector<cut_mode> m_cuts;
    std::optional<engine_behaviour> m_behaviour;
    bool m_restarts = false;
    bool m_outdated = false;
    soak_fleet m_fleet;
    soak_clients m_clients;
    outdated_rounds m_outdated_rounds;
    time_point m_start = steady_clock()();
    time_point m_fault_at;
    time_point m_recovered_at;
    int m_disturbances = 0;
    int m_ended = 0;
};

} // namespace

int main(int argc, char** argv) {
    const auto conditions = find_conditions(argc == 6 ? argv[5] : "");
    if (argc < 5 || argc > 6 || !conditions) {
        std::fprintf(stderr, "usage: fleet_soak PROGRAM FOLDER SEED SECONDS [CONDITIONS]\n");
        return EXIT_FAILURE;
    }
    run_soak(argv[2], [&](net::asio::io_context& loop) {
        auto* const run = new soak(loop, argv[1], argv[2], std::strtoull(argv[3], nullptr, 10),
                                   seconds(std::atoi(argv[4])), *conditions);
        return run->run();
    });
}
