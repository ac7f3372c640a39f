/// \file
/// Clients ask for the results of their batch job and read the answers slowly, while others send
/// requests on kept connections.
#include "base/text.hpp"
#include "fleet.hpp"
#include "net/http_client.hpp"
#include "net/http_exchange.hpp"

#include <nlohmann/json.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

/// The most that a job of the site has.
constexpr int items_per_job = 24;
/// Readers at each of two entry hosts, and how often they come, ten seconds apart.
constexpr std::size_t readers = 200;
constexpr int rounds = 6;
/// Ordinary callers at each of the two, one stream at a time each.
constexpr int callers = 60;
/// Of LOST, for one machine.
constexpr int allowed_losses = 3;
/// What a slow client takes at a time, and how often.
constexpr std::size_t bytes_at_once = 2048;
constexpr duration read_interval = milliseconds(500);
constexpr duration reading_time = seconds(8);
/// Segment size of an ordinary path; that of the loopback is 64 KB.
constexpr int segment_bytes = 1460;

struct progress {
    int connected = 0;
    std::size_t bytes = 0;
    int ended = 0;
};

net::task<> read_slowly(fleet& all, std::string endpoint, std::string job, progress& done,
                        time_point end) {
    const auto executor = co_await net::asio::this_coro::executor;
    net::tcp::socket socket(executor);
    net::io_error ec;
    const std::size_t colon = endpoint.find(':');
    int port = 0;
    (void)parse_int(endpoint.substr(colon + 1), port);
    const net::tcp::endpoint to{net::asio::ip::make_address(endpoint.substr(0, colon)),
                                static_cast<std::uint16_t>(port)};
    socket.open(to.protocol(), ec);
    socket.set_option(net::asio::socket_base::receive_buffer_size(8 * 1024), ec);
    const int handle = socket.native_handle();
    (void)::setsockopt(handle, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    co_await socket.async_connect(to, net::store_error(ec));
    if (ec) {
        co_return;
    }
    const std::string request =
        str_cat("GET /eelgrassdoor/lots/", job, "?after=0 HTTP/1.1\r\nHost: h\r\n",
                "Attempt-Id: read\r\nCredential: key-0\r\n\r\n");
    co_await net::asio::async_write(socket, net::asio::buffer(request), net::store_error(ec));
    ++done.connected;
    std::vector<char> buffer(has_trouble() ? bytes_at_once : 64 * 1024);
    while (!ec && steady_clock()() < end) {
        const std::size_t got =
            co_await socket.async_read_some(net::asio::buffer(buffer), net::store_error(ec));
        done.bytes += got;
        if (has_trouble()) {
            co_await all.wait(read_interval);
        }
    }
    ++done.ended;
}

/// Sends streams one after the other on a connection that is kept, and counts those that were
/// passed on and whose connection ended before any of an answer had come.
net::task<> send_streams(fleet& all, std::string endpoint, std::string name, int& sent, int& lost) {
    const auto executor = co_await net::asio::this_coro::executor;
    std::shared_ptr<net::tcp_connection> connection;
    for (int number = 0;; ++number) {
        const bool is_kept = connection != nullptr;
        if (!is_kept) {
            const auto connected = co_await net::http_client::connect(
                executor, endpoint, steady_clock()() + seconds(1));
            if (!connected) {
                co_await all.wait(milliseconds(300));
                continue;
            }
            connection = connected.value();
        }
        const std::string attempt = str_cat(name, "-", number);
        net::http_request request = fleet::request("POST", "/q/a", attempt, "x");
        request.headers.set("Credential", "key-1");
        request.headers.set("Deadline-Ms", "5000");
        connection->set_deadline(steady_clock()() + seconds(5));
        net::http_exchange exchange(connection);
        exchange.send(request);
        ++sent;
        const result<void> head = co_await exchange.read_head();
        const bool has_ended = !head && head.error().code != error_code::deadline_exceeded;
        if (has_ended && is_kept && all.has_run(attempt)) {
            ++lost;
            all.record(str_cat("LOST: ", attempt, " at ", endpoint,
                               " ran, and its connection ended without an answer"));
        }
        bool is_complete = false;
        if (head) {
            const result<void> rest = co_await exchange.read_all();
            is_complete = rest.has_value();
        }
        if (!is_complete || !exchange.reusable()) {
            connection->close();
            connection.reset();
        }
        co_await all.wait(milliseconds(is_complete ? 20 : 300));
    }
}

net::task<int> run(fleet& all) {
    const std::string job = "4ead";
    std::string body = R"({"items":[)";
    for (int i = 0; i < items_per_job; ++i) {
        body += str_cat(i == 0 ? "" : ",", R"({"id":")", job, "-", i, R"(","path":"/j/a/)", i,
                        R"(","headers":{"Model":"m","Token-Counts":"350,126"},"body":"eHh4",)",
                        R"("tokens":476})");
    }
    const reply accepted =
        co_await all.call(0, fleet::request("POST", "/j/a", job, body + "]}"), seconds(5));
    if (accepted.status != 202) {
        co_return could_not_run;
    }
    std::size_t listed = 0;
    std::size_t page_bytes = 0;
    for (int i = 0; i < 40 && listed < items_per_job; ++i) {
        co_await all.wait(seconds(1));
        const reply page = co_await all.call(
            1, fleet::request("GET", str_cat("/eelgrassdoor/lots/", job, "?after=0"), "read"),
            seconds(3));
        const auto json = nlohmann::json::parse(page.body, nullptr, false);
        listed = json.contains("results") ? json["results"].size() : 0;
        page_bytes = page.body.size();
    }
    all.record(str_cat("results listed: ", listed, " in ", page_bytes, " bytes"));
    if (listed < items_per_job) {
        co_return could_not_run;
    }
    const std::vector<test::daemon_process*> hosts{&all.entry(0), &all.entry(1)};
    std::vector<int> sent(hosts.size());
    std::vector<int> lost(hosts.size());
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        all.spawn(all.enforce_memory(*hosts[i]));
        for (int each = 0; each < callers; ++each) {
            all.spawn(send_streams(all, hosts[i]->caller_endpoint(), str_cat("c", i, "-", each),
                                   sent[i], lost[i]));
        }
    }
    for (int round = 1; round <= rounds; ++round) {
        progress done;
        const time_point end = steady_clock()() + reading_time;
        for (std::size_t i = 0; i < readers; ++i) {
            for (test::daemon_process* host : hosts) {
                all.spawn(read_slowly(all, host->caller_endpoint(), job, done, end));
            }
            co_await all.wait(milliseconds(10));
        }
        co_await all.wait(end + seconds(2) - steady_clock()());
        all.record(str_cat("round ", round, ": ", done.connected, " clients connected and read ",
                           done.bytes, " bytes"));
    }
    bool is_broken = false;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        all.record(str_cat(hosts[i]->spec().host, " was ended for its memory ",
                           all.ends_by_memory(*hosts[i]), " times; of ", sent[i],
                           " streams it lost ", lost[i]));
        is_broken = is_broken || lost[i] > allowed_losses;
    }
    co_return is_broken ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv,
             {.engines = 16,
              .zones = 3,
              .job_memory_mb = 270,
              .event_padding = 215,
              .item_events = 126,
              .stream_events = 18},
             run);
}
