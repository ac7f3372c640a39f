/// \file
/// Clients ask for the results of their batch job and read the answers slowly.
#include "base/text.hpp"
#include "fleet.hpp"
#include "net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace {

using namespace eelgrassdoor;
using namespace eelgrassdoor::review;

constexpr int items_per_job = 48;
/// Readers at each of two entry hosts, and how often they come.
constexpr std::size_t readers = 200;
constexpr int rounds = 3;
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

net::task<int> run(fleet& all) {
    const std::string job = "4ead";
    std::string body = R"({"items":[)";
    for (int i = 0; i < items_per_job; ++i) {
        body += str_cat(i == 0 ? "" : ",", R"({"id":")", job, "-", i, R"(","path":"/j/a/)", i,
                        R"(","headers":{"Model":"m","Token-Counts":"350,256"},"body":"eHh4",)",
                        R"("tokens":606})");
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
    for (test::daemon_process* host : hosts) {
        all.spawn(all.enforce_memory(*host));
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
    int ended_often = 0;
    for (test::daemon_process* host : hosts) {
        const int ends = all.ends_by_memory(*host);
        all.record(str_cat(host->spec().host, " was ended for its memory ", ends,
                           " times; peak of the last process ", fleet::peak_memory_mb(host->pid()),
                           " MB"));
        ended_often += ends >= rounds ? 1 : 0;
    }
    // Fault: on a tenth of the machines in use, two at least, processes end by themselves three
    // times.
    co_return ended_often >= 2 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv) {
    run_case(argc, argv, {.engines = 8, .zones = 3, .job_memory_mb = 270, .event_padding = 44},
             run);
}
