#include "http/server.hpp"

#include "base/worker_pool.hpp"

#include <httplib.h>

#include <sys/socket.h>
#include <utility>

namespace eelgrassdoor::http {

namespace {

constexpr int listen_backlog = 1024;
constexpr std::size_t max_requests_per_connection = 1'000'000'000;

/// Serves each connection on a thread of its own, up to a bound; further connections wait.
class connection_queue : public httplib::TaskQueue {
public:
    connection_queue(std::size_t max_threads, std::shared_ptr<std::atomic<std::size_t>> open)
        : m_pool(max_threads), m_open_connections(std::move(open)) {}

    void enqueue(std::function<void()> serve) override {
        ++*m_open_connections;
        m_pool.submit([serve = std::move(serve), open = m_open_connections] {
            serve();
            --*open;
        });
    }

    void shutdown() override { m_pool.stop(); }

private:
    worker_pool m_pool;
    std::shared_ptr<std::atomic<std::size_t>> m_open_connections;
};

} // namespace

server::server(server_options options)
    : m_options(std::move(options)), m_connections(std::make_shared<std::atomic<std::size_t>>(0)),
      m_server(std::make_unique<httplib::Server>()) {
    m_server->new_task_queue = [max = m_options.max_connections + m_options.reserve_connections,
                                open = m_connections] { return new connection_queue(max, open); };
    m_server->set_tcp_nodelay(true);
    m_server->set_keep_alive_max_count(max_requests_per_connection);
    m_server->set_keep_alive_timeout(
        std::chrono::duration_cast<seconds>(m_options.keep_alive_timeout).count());
    m_server->set_read_timeout(m_options.read_timeout);
    m_server->set_write_timeout(m_options.read_timeout);
    m_server->set_payload_max_length(m_options.max_body_bytes);
    m_server->set_socket_options([this](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        m_listener = socket;
    });
}

server::~server() {
    stop();
}

bool server::start() {
    if (!m_server->bind_to_port(m_options.address, m_options.port)) {
        return false;
    }
    // The library listens with a backlog of 5; a second call to listen() raises it.
    ::listen(m_listener, listen_backlog);
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    while (!m_server->is_running()) {
        std::this_thread::yield();
    }
    return true;
}

void server::stop() {
    if (m_thread.joinable()) {
        m_server->stop();
        m_thread.join();
    }
}

bool server::over_limit() const {
    return *m_connections > m_options.max_connections;
}

bool server::near_limit() const {
    return *m_connections * 4 > m_options.max_connections * 3;
}

} // namespace eelgrassdoor::http
