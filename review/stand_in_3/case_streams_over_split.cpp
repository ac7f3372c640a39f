/// \file
/// A route is split between its service and one whose engines have another software version;
/// clients whose connections break take the streams up that began before.
#include "base/text.hpp"
#include "stream_client.hpp"

#include <string>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr std::size_t clients = 24;
constexpr duration before_change = milliseconds(400);
/// configApplyMs of the deployment, and a little more.
constexpr duration apply_time = milliseconds(2100);
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
    co_await all.wait(before_change);
    if (has_trouble()) {
        all.split_route(10, 90);
        all.record("the configuration that splits the route is acknowledged");
    }
    co_await all.wait(apply_time);
    for (stream& each : streams) {
        each.is_closed = true;
    }
    all.record("the connections of the clients break");
    co_await all.wait(milliseconds(150));
    take_up_counts counts;
    for (std::size_t i = 0; i < clients; ++i) {
        if (streams[i].last_event > 0) {
            all.spawn(take_up(all, streams[i], (i + 1) % hosts, end, counts));
        }
        all.spawn(begin_new(all, i, i % hosts, end, counts));
    }
    co_await all.wait(end - steady_clock()() + milliseconds(100));
    co_return judge_take_up(all, counts);
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv,
             {.engines = 12,
              .versions = {"v1", "v2"},
              .services = {"s", "s2"},
              .stream_events = 32,
              .event_interval = milliseconds(140)},
             run);
}
