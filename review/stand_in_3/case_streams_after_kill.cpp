/// \file
/// Engines of two software versions serve side by side; the processes of all machines are killed at
/// once, and clients take their streams up when the machines are in touch again.
#include "base/text.hpp"
#include "stream_client.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr std::size_t clients = 24;
constexpr duration before_kill = milliseconds(400);
constexpr duration down_time = milliseconds(400);
/// contactMs of the deployment, and a little more.
constexpr duration contact_time = milliseconds(3150);
/// The clients' deadline, counted from their first attempt.
constexpr duration deadline = milliseconds(5000);

net::task<> begin(fleet& all, stream& state, std::size_t host, time_point end) {
    (void)co_await read_stream(all, host, stream_request(state.attempt, deadline), state, end);
}

net::task<int> run(fleet& all) {
    std::vector<stream> streams(clients);
    const std::size_t hosts = all.entries().size();
    const time_point end = steady_clock()() + deadline;
    for (std::size_t i = 0; i < clients; ++i) {
        streams[i].attempt = str_cat("57e4", i);
        all.spawn(begin(all, streams[i], i % hosts, end));
    }
    co_await all.wait(before_kill);
    if (has_trouble()) {
        // The final fault comes right after a configuration has been acknowledged.
        all.write_configuration();
        all.record("a configuration is acknowledged, and all processes are killed");
        for (auto* group : {&all.entries(), &all.runners()}) {
            for (const auto& each : *group) {
                each->kill();
            }
        }
        co_await all.wait(down_time);
        for (auto* group : {&all.entries(), &all.runners()}) {
            for (const auto& each : *group) {
                each->start(false);
            }
        }
        all.record("all processes start again");
    } else {
        // The clients leave, and take their streams up at the same moment as with the kill.
        co_await all.wait(down_time);
    }
    for (stream& each : streams) {
        each.is_closed = true;
    }
    co_await all.wait(contact_time);
    take_up_counts counts;
    for (std::size_t i = 0; i < clients; ++i) {
        if (streams[i].last_event > 0) {
            all.spawn(take_up(all, streams[i], (i + 1) % hosts, end, counts));
        }
        all.spawn(begin_new(all, i, i % hosts, end, counts));
    }
    co_await all.wait(seconds(3));
    co_return judge_take_up(all, counts);
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv,
             {.engines = 8,
              .versions = {"v1", "v2"},
              .stream_events = 37,
              .event_interval = milliseconds(120)},
             run);
}
