#include "soak/outdated_rounds.hpp"

#include "base/text.hpp"
#include "check.hpp"

#include <cstdio>
#include <utility>

namespace eelgrassdoor::test {

namespace {

/// Time in which all hosts list the first engines of a service.
constexpr duration listing_time = milliseconds(1500);
/// Time out of step; longer by a random part.
constexpr duration shortest_fault = seconds(1);
constexpr std::uint64_t longest_fault_extra_ms = 5000;
/// Streams still begin for this time after the host is back.
constexpr duration return_time = milliseconds(500);
constexpr duration stream_interval = milliseconds(60);
constexpr duration poll_interval = milliseconds(50);
/// A service begins with one version and goes on to the next one.
constexpr int versions_per_service = 2;

} // namespace

outdated_rounds::fault outdated_rounds::draw_fault() {
    fault out{.time = shortest_fault + milliseconds(m_random.below(longest_fault_extra_ms))};
    switch (m_random.below(6)) {
    case 0:
        out.is_frozen = true;
        break;
    case 1:
        out.is_cut_from_store = true;
        break;
    case 2:
        out.is_cut_from_peers = true;
        break;
    case 3:
        out.is_frozen = true;
        [[fallthrough]];
    default:
        out.is_cut_from_store = true;
        out.is_cut_from_peers = true;
        break;
    }
    return out;
}

net::task<> outdated_rounds::run_round() {
    const std::string name = str_cat("r", ++m_round);
    m_engines.push_back(m_fleet.add_service(name, 1 + m_round * versions_per_service));
    engine_fleet& engines = *m_engines.back();
    co_await engines.start();
    co_await m_fleet.wait(listing_time);
    const std::vector<daemon_process*> hosts = m_fleet.entry_hosts();
    daemon_process& host = *hosts[m_random.below(hosts.size())];
    const fault drawn = draw_fault();
    std::printf("           %s: %s is out of step for %lld ms:%s%s%s\n", name.c_str(),
                host.spec().host.c_str(), static_cast<long long>(to_ms(drawn.time)),
                drawn.is_frozen ? " frozen" : "", drawn.is_cut_from_store ? " without store" : "",
                drawn.is_cut_from_peers ? " without other hosts" : "");
    begin(disturb(host, drawn));
    begin(engines.release());
    const time_point end = steady_clock()() + drawn.time + return_time;
    std::string path = str_cat("/", name, "/");
    begin(start_streams(std::move(path), host, end));
    co_await join();
    engines.end_all();
}

net::task<> outdated_rounds::disturb(daemon_process& host, fault drawn) {
    if (drawn.is_cut_from_store) {
        begin(m_fleet.cut_store(host, drawn.time));
    }
    if (drawn.is_cut_from_peers) {
        begin(m_fleet.cut_peers(host, drawn.time));
    }
    if (drawn.is_frozen) {
        const duration time = drawn.is_cut_from_store ? drawn.time / 2 : drawn.time;
        co_await m_fleet.freeze(host, time);
    }
}

net::task<> outdated_rounds::start_streams(std::string path, daemon_process& host, time_point end) {
    while (steady_clock()() < end) {
        m_clients.start_moving_stream(path, host);
        co_await m_fleet.wait(stream_interval);
    }
}

void outdated_rounds::begin(net::task<> part) {
    ++m_parts;
    net::asio::co_spawn(m_loop, std::move(part), [this](const std::exception_ptr& failure) {
        --m_parts;
        require(failure == nullptr, "a part of a round throws no exception");
    });
}

net::task<> outdated_rounds::join() {
    while (m_parts > 0) {
        co_await m_fleet.wait(poll_interval);
    }
}

} // namespace eelgrassdoor::test
