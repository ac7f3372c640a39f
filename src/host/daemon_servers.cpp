#include "host/daemon_servers.hpp"

#include "net/notification.hpp"
#include "net/request_memory.hpp"

#include <algorithm>

namespace eelgrassdoor::host {

namespace {

/// File descriptors reserved for files, the store and other daemons.
constexpr std::size_t reserved_descriptors = 300;
/// File descriptors per caller: its own connection and one to a target.
constexpr std::size_t descriptors_per_caller = 2;
/// What an open connection costs beside the request that it carries: its buffers and coroutines,
/// and the part of a request that needs no claim.
constexpr std::size_t connection_bytes = 16UL * 1024;
/// Connections of callers, and those of other daemons, may take one part in this many of the
/// memory.
constexpr std::size_t memory_per_callers = 4;
constexpr std::size_t memory_per_peers = 8;
/// A body from another daemon, with the copies made of it, may take the whole memory of requests,
/// but always as much as a caller's body does.
constexpr std::size_t memory_per_peer_body = 16;
constexpr std::size_t min_peer_body_bytes = 16UL * 1024 * 1024;
constexpr std::size_t max_peer_body_bytes = 64UL * 1024 * 1024;
/// Readiness checks and scrapes have no bodies.
constexpr std::size_t max_probe_body_bytes = 64UL * 1024;
constexpr std::size_t max_readiness_connections = 64;
constexpr std::size_t max_metrics_connections = 16;
constexpr std::size_t max_peer_connections = 512;
/// Relayed requests have the headers of callers and more.
constexpr std::size_t max_peer_header_bytes = 256UL * 1024;
constexpr duration metrics_retry_interval = seconds(1);

net::client_limits peer_limits(std::size_t max_body_bytes) {
    net::client_limits limits;
    limits.sizes.max_header_bytes = max_peer_header_bytes;
    limits.sizes.max_body_bytes = max_body_bytes;
    limits.idle_timeout = seconds(60);
    return limits;
}

net::client_limits probe_limits() {
    net::client_limits limits;
    limits.sizes.max_body_bytes = max_probe_body_bytes;
    limits.idle_timeout = seconds(60);
    return limits;
}

} // namespace

daemon_servers::daemon_servers(net::asio::any_io_executor executor, const host_settings& settings,
                               server_handlers handlers)
    : m_executor(executor) {
    const auto make_server = [&](const std::string& endpoint, net::request_handler handler,
                                 std::function<net::client_limits()> limits,
                                 std::size_t max_connections) {
        return std::make_unique<net::http_server>(
            executor,
            net::http_server_options{.endpoint = endpoint,
                                     .limits = std::move(limits),
                                     .max_connections = max_connections,
                                     .memory = handlers.request_memory,
                                     .responses = handlers.responses},
            std::move(handler));
    };
    const std::size_t memory = settings.max_memory_bytes;
    const std::size_t max_callers =
        std::min((settings.max_descriptors - reserved_descriptors) / descriptors_per_caller,
                 memory / memory_per_callers / connection_bytes);
    const std::size_t max_peers =
        std::min(max_peer_connections, memory / memory_per_peers / connection_bytes);
    const std::size_t max_peer_body =
        std::clamp(memory / memory_per_peer_body, min_peer_body_bytes, max_peer_body_bytes);
    if (settings.serves_callers) {
        m_caller = std::make_unique<net::http_server>(
            executor,
            net::http_server_options{.endpoint = settings.caller_endpoint,
                                     .limits = std::move(handlers.caller_limits),
                                     .max_connections = max_callers,
                                     .stop_response = std::move(handlers.stop_response),
                                     .memory = handlers.request_memory,
                                     .memory_response = std::move(handlers.memory_response),
                                     .responses = handlers.responses},
            std::move(handlers.caller));
    }
    if (!settings.readiness_endpoint.empty()) {
        m_readiness = make_server(settings.readiness_endpoint, std::move(handlers.readiness),
                                  probe_limits, max_readiness_connections);
    }
    if (!settings.metrics_endpoint.empty()) {
        m_metrics = make_server(settings.metrics_endpoint, std::move(handlers.metrics),
                                probe_limits, max_metrics_connections);
    }
    m_peer = make_server(
        settings.peer_endpoint, std::move(handlers.peer),
        [max_peer_body] { return peer_limits(max_peer_body); }, max_peers);
}

result<void> daemon_servers::start() {
    // Callers come last: a connection that waits to be accepted meanwhile would not be answered.
    for (net::http_server* server : {m_peer.get(), m_readiness.get(), m_caller.get()}) {
        if (server != nullptr && !server->is_listening()) {
            BOOST_OUTCOME_TRY(server->start());
        }
    }
    if (m_metrics && !m_metrics->is_listening()) {
        const result<void> started = m_metrics->start();
        if (!started) {
            on_metrics_unavailable(started.error().message);
            net::asio::co_spawn(m_executor, retry_metrics(), net::asio::detached);
        }
    }
    return success();
}

net::task<> daemon_servers::retry_metrics() {
    while (!m_metrics->is_listening()) {
        co_await net::sleep_for(metrics_retry_interval);
        (void)m_metrics->start();
    }
}

} // namespace eelgrassdoor::host
