/// \file
/// Engines of two software versions serve side by side; the processes of all machines are killed at
/// once, and clients take their streams up when the machines are in touch again.
#include "base/text.hpp"
#include "fleet.hpp"
#include "net/http_client.hpp"

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

struct stream {
    std::string attempt;
    std::uint64_t last_event = 0;
    bool is_broken = false;
    bool is_closed = false;
};

/// Reads events into \p state from a new connection until it ends or \p state is closed; the
/// answer's status, 0 without one. \p first is the id of the first event that came.
net::task<int> read_stream(fleet& all, std::size_t host, net::http_request request, stream& state,
                           time_point end, std::uint64_t& first) {
    const auto executor = co_await net::asio::this_coro::executor;
    const auto connected = co_await net::http_client::connect(
        executor, all.entry(host).caller_endpoint(), std::min(end, steady_clock()() + seconds(1)));
    if (!connected) {
        co_return 0;
    }
    const std::shared_ptr<net::tcp_connection>& connection = connected.value();
    connection->set_deadline(end);
    net::io_error ec = co_await connection->write(net::serialize(request));
    int status = 0;
    std::string text;
    while (!ec && !state.is_closed) {
        ec = co_await connection->read_more();
        text += std::exchange(connection->input(), {});
        if (status == 0 && text.size() > 12) {
            (void)parse_int(text.substr(9, 3), status);
        }
        for (std::size_t at = text.find("\nid: "); at != std::string::npos;
             at = text.find("\nid: ", at + 1)) {
            const std::size_t line_end = text.find('\n', at + 1);
            std::uint64_t id = 0;
            // A whole event ends with an empty line.
            if (line_end != std::string::npos && text.find("\n\n", line_end) != std::string::npos &&
                parse_int(text.substr(at + 5, line_end - at - 5), id) && id > state.last_event) {
                first = first == 0 ? id : first;
                state.last_event = id;
            }
        }
        if (status >= 300 && text.find("\r\n\r\n") != std::string::npos) {
            break;
        }
    }
    state.is_broken = true;
    connection->close();
    co_return status;
}

net::http_request stream_request(const std::string& attempt, duration left) {
    net::http_request request = fleet::request("POST", "/q/a", attempt, "x");
    request.headers.set("Deadline-Ms", std::to_string(to_ms(left)));
    return request;
}

struct counts {
    int taken_up = 0;
    int go_on = 0;
    int new_streams = 0;
    int begin = 0;
};

net::task<> take_up(fleet& all, stream& state, std::size_t host, time_point end,
                    counts& all_counts) {
    stream rest{.attempt = state.attempt + "b", .last_event = state.last_event};
    net::http_request request = stream_request(rest.attempt, end - steady_clock()());
    request.headers.set("Last-Event-Id", std::to_string(state.last_event));
    request.headers.set("Resumes", state.attempt);
    std::uint64_t first = 0;
    ++all_counts.taken_up;
    const int status = co_await read_stream(all, host, std::move(request), rest, end, first);
    const bool goes_on = status == 200 && first == state.last_event + 1;
    all_counts.go_on += goes_on ? 1 : 0;
    all.record(str_cat("stream ", state.attempt, " is taken up after event ", state.last_event,
                       ": answer ", status, ", first event ", first));
}

net::task<> begin_new(fleet& all, std::size_t number, time_point end, counts& all_counts) {
    stream state{.attempt = str_cat("new", number)};
    std::uint64_t first = 0;
    ++all_counts.new_streams;
    const int status = co_await read_stream(
        all, number % 4, stream_request(state.attempt, end - steady_clock()()), state, end, first);
    all_counts.begin += status == 200 && first == 1 ? 1 : 0;
    all.record(str_cat("new stream ", state.attempt, ": answer ", status, ", first event ", first));
}

net::task<> begin(fleet& all, stream& state, std::size_t host, time_point end) {
    std::uint64_t first = 0;
    (void)co_await read_stream(all, host, stream_request(state.attempt, deadline), state, end,
                               first);
}

net::task<int> run(fleet& all) {
    std::vector<stream> streams(clients);
    const time_point started_at = steady_clock()();
    for (std::size_t i = 0; i < clients; ++i) {
        streams[i].attempt = str_cat("57e4", i);
        all.spawn(begin(all, streams[i], i % 4, started_at + deadline));
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
    counts result;
    for (std::size_t i = 0; i < clients; ++i) {
        if (streams[i].last_event > 0) {
            all.spawn(take_up(all, streams[i], (i + 1) % 4, started_at + deadline, result));
        }
        all.spawn(begin_new(all, i, started_at + deadline, result));
    }
    co_await all.wait(seconds(3));
    all.record(str_cat("streams taken up ", result.taken_up, ", go on ", result.go_on,
                       "; new streams ", result.new_streams, ", begin ", result.begin));
    if (result.taken_up < 12 || result.begin == 0) {
        co_return could_not_run;
    }
    const double share = static_cast<double>(result.go_on) / result.taken_up;
    const double usual = static_cast<double>(result.begin) / result.new_streams;
    co_return share < usual / 2 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv,
             {.engines = 8,
              .versions = {"v1", "v2"},
              .stream_events = 200,
              .event_interval = milliseconds(40)},
             run);
}
