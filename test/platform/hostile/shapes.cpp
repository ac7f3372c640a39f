#include "platform/hostile/shapes.hpp"

#include "base/text.hpp"

#include <utility>
#include <vector>

namespace eelgrassdoor::test {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
/// Bodies of this crowd together take more than twice the memory of the tests' daemons.
constexpr std::size_t body_clients = 40;

std::string head(std::string_view fields, std::string_view path = "/p/x") {
    return str_cat("POST ", path,
                   " HTTP/1.1\r\nHost: h\r\nAttempt-Id: crowd\r\nCredential: key-1\r\n"
                   "Deadline-Ms: 5000\r\n",
                   fields, "\r\n");
}

std::string chunked_head() {
    return head("Transfer-Encoding: chunked\r\n");
}

std::string chunk(std::size_t bytes) {
    return str_cat(absl::Hex(bytes), "\r\n", std::string(bytes, 'x'), "\r\n");
}

std::string repeat(std::string_view text, std::size_t times) {
    std::string out;
    for (std::size_t i = 0; i < times; ++i) {
        out += text;
    }
    return out;
}

/// Chunks that end just short of the body limit.
crowd_shape short_chunks() {
    return {.clients = body_clients,
            .head = chunked_head(),
            .piece = chunk(64 * kib),
            .pieces = body_limit / (64 * kib) - 1};
}

crowd_shape short_of_length(std::size_t length) {
    return {.clients = body_clients,
            .head = head(str_cat("Content-Length: ", length, "\r\n")),
            .piece = std::string(64 * kib, 'x'),
            .pieces = length / (64 * kib) - 1};
}

crowd_shape pipelined() {
    // The pieces are requests as well, so that nothing of them is malformed.
    const std::string request =
        head(str_cat("Content-Length: ", 16 * kib, "\r\n"), "/p/hang") + std::string(16 * kib, 'x');
    return {.clients = 200, .head = request, .piece = request, .pieces = 64};
}

std::vector<hostile_case> make_cases() {
    const auto port = [](crowd_port which, std::string_view name, crowd_shape shape) {
        return hostile_case{name, which, std::move(shape)};
    };
    using enum crowd_port;
    return {
        port(caller, "endless_trailers",
             {.clients = 100,
              .head = chunked_head() + "0\r\n",
              .piece = repeat("X-Trailer: 0123456789abcdef\r\n", 256),
              .pieces = 512}),
        port(caller, "endless_extensions",
             {.clients = 100,
              .head = chunked_head() + "1",
              .piece = repeat(";name=0123456789abcdef", 256),
              .pieces = 512}),
        port(caller, "short_of_large_chunks", short_chunks()),
        port(caller, "short_of_small_chunks",
             {.clients = 200,
              .head = chunked_head(),
              .piece = repeat("1\r\nx\r\n", 4 * kib),
              .pieces = 64}),
        port(caller, "short_of_announced_length", short_of_length(body_limit)),
        port(caller, "far_over_announced",
             {.clients = 100,
              .head = head(str_cat("Content-Length: ", 1024 * mib, "\r\n")),
              .piece = std::string(64 * kib, 'x'),
              .pieces = 512}),
        port(caller, "endless_chunks",
             {.clients = body_clients,
              .head = chunked_head(),
              .piece = chunk(64 * kib),
              .pieces = 512}),
        port(caller, "pipelined", pipelined()),
        port(caller, "half_heads",
             {.clients = 600,
              .head = str_cat("POST /p/x HTTP/1.1\r\nHost: h\r\nX-Long: ",
                              std::string(12 * kib, 'x'))}),
        port(peer, "peer_chunks", short_chunks()),
        port(peer, "peer_announced", short_of_length(16 * mib)),
        port(readiness, "readiness_chunks", short_chunks()),
        port(storage, "storage_chunks", short_chunks()),
    };
}

} // namespace

std::optional<hostile_case> find_case(std::string_view name) {
    for (hostile_case& each : make_cases()) {
        if (each.name == name) {
            return std::move(each);
        }
    }
    return std::nullopt;
}

} // namespace eelgrassdoor::test
