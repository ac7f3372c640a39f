#include "http/server.hpp"

#include "base/text.hpp"
#include "base/worker_pool.hpp"
#include "http/guarded_stream.hpp"

#include <httplib.h>

#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::http {

namespace {

constexpr int listen_backlog = 1024;
constexpr std::size_t max_requests_per_connection = 1'000'000'000;

/// Bodies of a server without a shared account.
constexpr std::size_t default_intake_bytes = 1U << 30U;
/// A request that arrives for less yields its connection to no other: ordinary ones are complete.
constexpr duration yield_grace = seconds(1);
/// Connections that may wait for a thread, as a multiple of the threads.
constexpr std::size_t waiting_per_thread = 1;

/// The stream that this thread serves.
thread_local const guarded_stream* served_stream = nullptr;
/// Set while a connection is refused on the accepting thread.
thread_local bool no_room = false;

/// Serves each connection on a thread of its own, up to a bound; further connections wait, and
/// those for which there is no room are refused.
class connection_queue : public httplib::TaskQueue {
public:
    connection_queue(const server_options& options, std::shared_ptr<request_intake> intake,
                     std::shared_ptr<std::atomic<std::size_t>> open)
        : m_max_connections(options.max_connections),
          m_max_threads(options.max_connections + options.reserve_connections),
          m_pool(m_max_threads), m_intake(std::move(intake)), m_open_connections(std::move(open)) {}

    void enqueue(std::function<void()> serve) override {
        const std::size_t open = ++*m_open_connections;
        if (open > m_max_connections) {
            m_intake->free_connections(m_open_connections.get(), open - m_max_connections,
                                       yield_grace);
        }
        const bool has_room = open <= m_max_threads * (1 + waiting_per_thread);
        if (has_room && m_pool.submit([serve, count = m_open_connections] {
                serve();
                --*count;
            })) {
            return;
        }
        no_room = true;
        serve();
        no_room = false;
        --*m_open_connections;
    }

    void shutdown() override { m_pool.stop(); }

private:
    const std::size_t m_max_connections;
    const std::size_t m_max_threads;
    worker_pool m_pool;
    std::shared_ptr<request_intake> m_intake;
    std::shared_ptr<std::atomic<std::size_t>> m_open_connections;
};

/// The server of the library, reading through a guarded_stream.
class guarded_server : public httplib::Server {
public:
    guarded_server(const server_options& options, request_intake& intake, const void* group)
        : m_options(options), m_intake(intake), m_group(group) {}

private:
    bool process_and_close_socket(socket_t socket) override {
        const bool served = no_room ? refuse(socket) : serve(socket);
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        return served;
    }

    bool serve(socket_t socket) {
        guarded_stream stream(socket,
                              {.io_timeout = m_options.read_timeout,
                               .max_body_bytes = m_options.max_body_bytes,
                               .head_time = m_options.head_time,
                               .body_time = m_options.body_time,
                               .least_rate = m_options.least_rate},
                              m_intake, m_group, [this] { return svr_sock_ == INVALID_SOCKET; });
        served_stream = &stream;
        bool open = true;
        while (open && stream.begin_request(m_options.keep_alive_timeout)) {
            bool closed = false;
            open =
                process_request(stream, false, closed, [&stream](const httplib::Request& request) {
                    stream.begin_body(request);
                });
            open = stream.end_request() && open && !closed;
        }
        served_stream = nullptr;
        return open;
    }

    /// Answers without reading and without waiting, as this is the accepting thread.
    bool refuse(socket_t socket) const {
        const std::string text =
            str_cat("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
                    "Content-Type: application/json\r\nContent-Length: ",
                    m_options.crowded_body.size(), "\r\n\r\n", m_options.crowded_body);
        ::send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return false;
    }

    const server_options& m_options;
    request_intake& m_intake;
    const void* const m_group;
};

} // namespace

refusal current_refusal() {
    return served_stream == nullptr ? refusal::none : served_stream->refused();
}

server::server(server_options options)
    : m_options(std::move(options)),
      m_intake(m_options.intake != nullptr
                   ? m_options.intake
                   : std::make_shared<request_intake>(default_intake_bytes, steady_clock())),
      m_connections(std::make_shared<std::atomic<std::size_t>>(0)),
      m_server(std::make_unique<guarded_server>(m_options, *m_intake, m_connections.get())) {
    m_server->new_task_queue = [this] {
        return new connection_queue(m_options, m_intake, m_connections);
    };
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
