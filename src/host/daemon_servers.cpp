#include "host/daemon_servers.hpp"

#include "net/notification.hpp"

namespace eelgrassdoor::host {

namespace {

/// File descriptors reserved for files, the store and other daemons.
constexpr std::size_t reserved_descriptors = 300;
/// File descriptors per caller: its own connection and one to a target.
constexpr std::size_t descriptors_per_caller = 2;
constexpr std::size_t max_readiness_connections = 64;
constexpr std::size_t max_metrics_connections = 16;
constexpr std::size_t max_peer_connections = 512;
/// Relayed requests have the headers of callers and more.
constexpr std::size_t max_peer_header_bytes = 256UL * 1024;
constexpr duration metrics_retry_interval = seconds(1);

net::client_limits peer_limits() {
    net::client_limits limits;
    limits.sizes.max_header_bytes = max_peer_header_bytes;
    limits.sizes.max_body_bytes = 64ULL * 1024 * 1024;
    limits.idle_timeout = seconds(60);
    return limits;
}

} // namespace

daemon_servers::daemon_servers(net::asio::any_io_executor executor, const host_settings& settings,
                               server_handlers handlers)
    : m_executor(executor) {
    const auto make_server = [&executor](const std::string& endpoint, net::request_handler handler,
                                         std::function<net::client_limits()> limits,
                                         std::size_t max_connections) {
        return std::make_unique<net::http_server>(
            executor,
            net::http_server_options{.endpoint = endpoint,
                                     .limits = std::move(limits),
                                     .max_connections = max_connections},
            std::move(handler));
    };
    const std::size_t max_callers =
        (settings.max_descriptors - reserved_descriptors) / descriptors_per_caller;
    if (settings.serves_callers) {
        m_caller = std::make_unique<net::http_server>(
            executor,
            net::http_server_options{.endpoint = settings.caller_endpoint,
                                     .limits = std::move(handlers.caller_limits),
                                     .max_connections = max_callers,
                                     .stop_response = std::move(handlers.stop_response)},
            std::move(handlers.caller));
    }
    if (!settings.readiness_endpoint.empty()) {
        m_readiness = make_server(settings.readiness_endpoint, std::move(handlers.readiness),
                                  peer_limits, max_readiness_connections);
    }
    if (!settings.metrics_endpoint.empty()) {
        m_metrics = make_server(settings.metrics_endpoint, std::move(handlers.metrics), peer_limits,
                                max_metrics_connections);
    }
    m_peer = make_server(settings.peer_endpoint, std::move(handlers.peer), peer_limits,
                         max_peer_connections);
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
