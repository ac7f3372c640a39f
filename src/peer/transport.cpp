#include "peer/transport.hpp"

#include "base/text.hpp"
#include "http/client_pool.hpp"
#include "peer/codec.hpp"

#include <absl/time/time.h>
#include <httplib.h>

#include <arpa/inet.h>
#include <array>
#include <deque>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace eelgrassdoor::peer {

namespace {

constexpr std::size_t max_datagram_bytes = 65'507;
constexpr int receive_buffer_bytes = 4 << 20;
constexpr int poll_interval_ms = 100;
constexpr std::size_t max_bulk_connections = 256;
/// Bounds an HTTP body: a frame with the longest body, its header and its MAC.
constexpr std::size_t max_bulk_bytes = 65U << 20U;
constexpr std::string_view bulk_path = "/peer";

sockaddr_in to_sockaddr(std::string_view endpoint) {
    const http::endpoint parsed = http::endpoint::parse(endpoint);
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(parsed.port));
    inet_pton(AF_INET, parsed.address.c_str(), &out.sin_addr);
    return out;
}

std::string format_endpoint(const sockaddr_in& address) {
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
    return str_cat(ip.data(), ":", ntohs(address.sin_port));
}

std::string encode_bulk(const bulk_message& message) {
    const auto head_bytes = static_cast<std::uint32_t>(message.head.size());
    return str_cat(encode(head_bytes), message.head, message.payload);
}

std::optional<bulk_message> decode_bulk(std::string_view body) {
    const std::size_t prefix = encode(std::uint32_t{0}).size();
    const auto head_bytes = decode<std::uint32_t>(body.substr(0, prefix));
    if (!head_bytes || body.size() < prefix || *head_bytes > body.size() - prefix) {
        return std::nullopt;
    }
    return bulk_message{std::string(body.substr(prefix, *head_bytes)),
                        std::string(body.substr(prefix + *head_bytes))};
}

} // namespace

/// Replies to one call_many() that were received but not yet passed to its handler.
struct transport::reply_queue {
    absl::Mutex mutex;
    std::deque<std::pair<std::size_t, std::string>> replies ABSL_GUARDED_BY(mutex);
};

transport::transport(transport_options options, std::shared_ptr<frame_authenticator> authenticator,
                     observe::event_recorder& events, observe::metrics& metrics, drop_list& drops)
    : m_options(std::move(options)), m_authenticator(std::move(authenticator)), m_events(events),
      m_metrics(metrics), m_drops(drops),
      m_bulk_server(http::server_options{.address = m_options.address,
                                         .port = m_options.port,
                                         .max_connections = max_bulk_connections,
                                         .max_body_bytes = max_bulk_bytes,
                                         .intake = m_options.intake}) {}

transport::~transport() {
    stop();
}

bool transport::start() {
    m_socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    const sockaddr_in own = to_sockaddr(str_cat(m_options.address, ":", m_options.port));
    if (::bind(m_socket, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0) {
        return false;
    }
    m_bulk_server.raw().Post(std::string(bulk_path), [this](const httplib::Request& request,
                                                            httplib::Response& response) {
        response.set_content(serve_bulk(request.body), "application/octet-stream");
        response.status = response.body.empty() ? 400 : 200;
    });
    m_receiver = std::thread([this] { receive(); });
    return m_bulk_server.start();
}

void transport::stop() {
    m_stopping = true;
    if (m_receiver.joinable()) {
        m_receiver.join();
    }
    m_bulk_server.stop();
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

void transport::receive() {
    std::string buffer(max_datagram_bytes, '\0');
    while (!m_stopping) {
        pollfd waiting{m_socket, POLLIN, 0};
        if (::poll(&waiting, 1, poll_interval_ms) <= 0) {
            continue;
        }
        sockaddr_in from{};
        socklen_t from_size = sizeof from;
        const ssize_t size = ::recvfrom(m_socket, buffer.data(), buffer.size(), 0,
                                        reinterpret_cast<sockaddr*>(&from), &from_size);
        if (size > 0) {
            on_frame(std::string_view(buffer.data(), static_cast<std::size_t>(size)),
                     format_endpoint(from));
        }
    }
}

void transport::on_frame(std::string_view frame, const std::string& from) {
    m_metrics.count("peer_bytes_received_total", frame.size());
    m_metrics.count("peer_messages_received_total");
    if (m_drops.drops_incoming(from)) {
        return;
    }
    std::variant<envelope, drop_reason> verified = m_authenticator->verify(frame);
    if (const drop_reason* reason = std::get_if<drop_reason>(&verified)) {
        m_metrics.count(
            str_cat("peer_messages_dropped_total{reason=\"", to_string(*reason), "\"}"));
        return;
    }
    const envelope& e = std::get<envelope>(verified);
    m_events.merge_stamp(e.stamp);
    if (e.is_reply) {
        on_reply(e);
        return;
    }
    const auto found = m_handlers.find(e.type);
    if (found == m_handlers.end()) {
        return;
    }
    if (std::optional<std::string> body = found->second(e, from)) {
        transmit(from, {.type = e.type,
                        .is_reply = true,
                        .call_id = e.call_id,
                        .stamp = m_events.stamp(),
                        .body = *std::move(body)});
    }
}

void transport::on_reply(const envelope& e) {
    std::shared_ptr<reply_queue> queue;
    std::size_t index = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto found = m_pending.find(e.call_id);
        if (found == m_pending.end()) {
            return;
        }
        std::tie(queue, index) = found->second;
        m_pending.erase(found);
    }
    const absl::MutexLock lock(&queue->mutex);
    queue->replies.emplace_back(index, e.body);
}

void transport::transmit(std::string_view endpoint, const envelope& e) {
    if (m_drops.drops_outgoing(endpoint)) {
        return;
    }
    const std::string frame = m_authenticator->sign(e);
    m_metrics.count("peer_bytes_sent_total", frame.size());
    m_metrics.count("peer_messages_sent_total");
    const sockaddr_in to = to_sockaddr(endpoint);
    ::sendto(m_socket, frame.data(), frame.size(), 0, reinterpret_cast<const sockaddr*>(&to),
             sizeof to);
}

void transport::send(std::string_view endpoint, message_type type, std::string body) {
    transmit(endpoint, {.type = type, .stamp = m_events.stamp(), .body = std::move(body)});
}

std::optional<std::string> transport::call(std::string_view endpoint, message_type type,
                                           std::string body, duration timeout) {
    std::optional<std::string> out;
    const outgoing_call single_call{std::string(endpoint), type, std::move(body)};
    call_many({&single_call, 1}, timeout, [&out](std::size_t, const std::string& reply) {
        out = reply;
        return true;
    });
    return out;
}

void transport::call_many(std::span<const outgoing_call> calls, duration timeout,
                          const reply_handler& on_reply) {
    const absl::Time deadline = absl::Now() + absl::FromChrono(timeout);
    const auto queue = std::make_shared<reply_queue>();
    const std::uint64_t first_id = m_next_call_id.fetch_add(calls.size());
    {
        const absl::MutexLock lock(&m_mutex);
        for (std::size_t i = 0; i < calls.size(); ++i) {
            m_pending[first_id + i] = {queue, i};
        }
    }
    for (std::size_t i = 0; i < calls.size(); ++i) {
        transmit(calls[i].endpoint, {.type = calls[i].type,
                                     .call_id = first_id + i,
                                     .stamp = m_events.stamp(),
                                     .body = calls[i].body});
    }
    bool done = false;
    for (std::size_t received = 0; received < calls.size() && !done; ++received) {
        std::pair<std::size_t, std::string> reply;
        {
            const absl::MutexLock lock(&queue->mutex);
            const auto ready = [&queue]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
                return !queue->replies.empty();
            };
            if (!queue->mutex.AwaitWithDeadline(absl::Condition(&ready), deadline)) {
                break;
            }
            reply = std::move(queue->replies.front());
            queue->replies.pop_front();
        }
        done = on_reply(reply.first, reply.second);
    }
    const absl::MutexLock lock(&m_mutex);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        m_pending.erase(first_id + i);
    }
}

std::string transport::serve_bulk(const std::string& frame) {
    std::variant<envelope, drop_reason> verified = m_authenticator->verify(frame);
    if (const drop_reason* reason = std::get_if<drop_reason>(&verified)) {
        m_metrics.count(
            str_cat("peer_messages_dropped_total{reason=\"", to_string(*reason), "\"}"));
        return {};
    }
    const envelope& e = std::get<envelope>(verified);
    m_events.merge_stamp(e.stamp);
    const auto found = m_bulk_handlers.find(e.type);
    const std::optional<bulk_message> request = decode_bulk(e.body);
    if (found == m_bulk_handlers.end() || !request) {
        return {};
    }
    const bulk_message answer = found->second(*request);
    m_metrics.count("peer_bulk_bytes_total", frame.size() + answer.payload.size());
    return m_authenticator->sign({.type = e.type,
                                  .is_reply = true,
                                  .call_id = e.call_id,
                                  .stamp = m_events.stamp(),
                                  .body = encode_bulk(answer)});
}

http::client_pool& transport::client_pool_for(std::string_view endpoint) {
    const absl::MutexLock lock(&m_mutex);
    auto found = m_pools.find(endpoint);
    if (found == m_pools.end()) {
        found = m_pools
                    .emplace(std::string(endpoint),
                             std::make_unique<http::client_pool>(endpoint, http::client_options{},
                                                                 steady_clock()))
                    .first;
    }
    return *found->second;
}

result<bulk_message> transport::bulk_call(std::string_view endpoint, message_type type,
                                          const bulk_message& message, duration timeout) {
    const error failed{error_code::unavailable,
                       str_cat("peer ", endpoint, " did not return a valid reply"),
                       run_state::unknown};
    if (m_drops.drops_either_direction(endpoint)) {
        return failed;
    }
    const std::uint64_t id = m_next_call_id.fetch_add(1);
    const std::string frame = m_authenticator->sign(
        {.type = type, .call_id = id, .stamp = m_events.stamp(), .body = encode_bulk(message)});
    http::client_pool::lease client = client_pool_for(endpoint).acquire();
    client->set_read_timeout(timeout);
    const httplib::Result answer =
        client->Post(std::string(bulk_path), frame, "application/octet-stream");
    if (!answer || answer->status != 200) {
        return failed;
    }
    std::variant<envelope, drop_reason> verified = m_authenticator->verify(answer->body);
    const envelope* e = std::get_if<envelope>(&verified);
    if (e == nullptr || !e->is_reply || e->call_id != id) {
        return failed;
    }
    client.return_to_pool();
    m_events.merge_stamp(e->stamp);
    std::optional<bulk_message> out = decode_bulk(e->body);
    if (!out) {
        return failed;
    }
    return *std::move(out);
}

} // namespace eelgrassdoor::peer
