/// \file
/// Sends requests outside the limits to a daemon and checks that its process lives, that its memory
/// and descriptors stay under a bound and that an ordinary request is answered while the crowd
/// stays. Arguments: BUILD_FOLDER RUN_FOLDER PORT SHAPE.
#include "check.hpp"
#include "hostile/crowd.hpp"
#include "hostile/tested_daemon.hpp"

#include <csignal>
#include <cstdio>
#include <map>
#include <string>

namespace {

using namespace eelgrassdoor::test;

constexpr std::size_t mib = 1U << 20U;
/// Most that the peak of memory may grow by. The daemon takes bodies of up to 64 MiB.
constexpr std::size_t memory_bound = 320 * mib;
/// Most that the open descriptors may grow by; the daemon serves 16 callers and 16 in reserve.
constexpr std::size_t descriptor_bound = 96;
/// Attempts of the ordinary request; each waits up to 10 s.
constexpr int attempts = 6;
/// Crowds of slow clients exceed the 32 threads for callers; those of large bodies do not.
constexpr std::size_t slow_clients = 48;
constexpr std::size_t body_clients = 14;
/// More connections than the daemon's descriptors may grow by.
constexpr std::size_t many_clients = 200;

/// A shape, and whether the daemon must cut off every client before it has sent all its bytes.
struct test_case {
    client_shape shape;
    bool must_cut = false;
};

std::string chunk(std::size_t bytes) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

std::map<std::string, test_case> all_cases(const std::string& path) {
    const std::string start = "POST " + path + " HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string trailers = chunked + chunk(1) + "0\r\n";
    const std::string text(mib / 16, 'a');
    const auto announced = [&start](std::size_t bytes) {
        return start + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
    };
    return {
        {"trailers",
         {{4, trailers, "X-A: " + std::string(1000, 'b') + "\r\n", 32 * mib, {}}, true}},
        {"trailer_line", {{body_clients, trailers + "X-A: ", text, 32 * mib, {}}, true}},
        {"extensions", {{body_clients, chunked + "5;a=", text, 32 * mib, {}}, true}},
        {"head_line", {{body_clients, start + "X-A: ", text, 32 * mib, {}}, true}},
        {"head_lines",
         {{body_clients, start, "X-A: " + std::string(1000, 'b') + "\r\n", 32 * mib, {}}, true}},
        {"large_chunks", {{body_clients, chunked + "2800000\r\n", text, 39 * mib, {}}}},
        {"small_chunks", {{slow_clients, chunked, chunk(1), mib / 4, chunk(1)}}},
        {"announced_short", {{body_clients, announced(40 * mib), text, 39 * mib, {}}}},
        {"announced_slow", {{slow_clients, announced(40 * mib), text, mib / 16, "y"}}},
        {"announced_far_over", {{4, announced(4096 * mib), text, 256 * mib, {}}, true}},
        {"sent_far_over", {{2, chunked, chunk(mib), 512 * mib, {}}, true}},
        {"half_heads", {{slow_clients, start, {}, 0, "X-B: c\r\n"}}},
        {"many_connections", {{many_clients, start, {}, 0, "X-B: c\r\n"}}},
    };
}

std::size_t growth(std::size_t now, std::size_t before) {
    return now > before ? now - before : 0;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        std::printf("arguments: BUILD_FOLDER RUN_FOLDER PORT SHAPE\n");
        return 2;
    }
    // The daemon may close a connection that a client is still writing to.
    std::signal(SIGPIPE, SIG_IGN);
    const std::string port = argv[3];
    const std::string path = port == "peer"    ? "/peer"
                             : port == "admin" ? "/admin/v1/sheet"
                                               : "/v1/completions";
    const test_case c = all_cases(path).at(argv[4]);
    tested_daemon daemon(argv[1], argv[2]);
    require(daemon.start(), "the daemon serves a request before the crowd comes");
    const std::size_t memory = daemon.peak_memory();
    const std::size_t descriptors = daemon.descriptors();
    crowd clients(port == "peer" ? daemon.peer_port() : daemon.caller_port(), c.shape);
    clients.wait_sent();
    const std::size_t descriptor_growth = growth(daemon.descriptors(), descriptors);
    bool served = false;
    for (int i = 0; i < attempts && !served; ++i) {
        served = daemon.serves();
    }
    require(daemon.is_running(), "the process lives");
    const std::size_t memory_growth = growth(daemon.peak_memory(), memory);
    std::printf("peak +%zu MiB, descriptors +%zu, cut %zu of %zu, served %d\n", memory_growth / mib,
                descriptor_growth, clients.cut(), c.shape.clients, served ? 1 : 0);
    require(served, "an ordinary request is answered beside the crowd");
    require(memory_growth <= memory_bound, "memory stays under its bound");
    require(descriptor_growth <= descriptor_bound, "descriptors stay under their bound");
    require(!c.must_cut || clients.cut() == c.shape.clients, "every client is cut off");
    clients.stop();
    return finish();
}
