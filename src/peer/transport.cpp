#include "base/text.hpp"
#include "http/client_pool.hpp"
#include "peer/codec.hpp"
#include "peer/transport.hpp"

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
constexpr std::size_t max_bulk_bytes = 65U << 20U;
constexpr std::string_view bulk_path = "/peer";

sockaddr_in to_sockaddr(std::string_view text) {
    const http::endpoint where = http::endpoint::parse(text);
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.address.c_str(), &out.sin_addr);
    return out;
}

std::string to_text(const sockaddr_in& address) {
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
    return str_cat(ip.data(), ":", ntohs(address.sin_port));
}

std::string join_bulk(const bulk_message& message) {
    const auto head_bytes = static_cast<std::uint32_t>(message.head.size());
    return str_cat(encode(head_bytes), message.head, message.payload);
}

std::optional<bulk_message> split_bulk(std::string_view body) {
    const std::size_t prefix = encode(std::uint32_t{0}).size();
    const auto head_bytes = decode<std::uint32_t>(body.substr(0, prefix));
    if (!head_bytes || body.size() < prefix || *head_bytes > body.size() - prefix) {
        return std::nullopt;
    }
    return bulk_message{std::string(body.substr(prefix, *head_bytes)),
                        std::string(body.substr(prefix + *head_bytes))};
}

} // namespace

/// The replies of one call_many() that have come in and were not yet taken.
struct node::call_group {
    absl::Mutex mutex;
    std::deque<std::pair<std::size_t, std::string>> replies ABSL_GUARDED_BY(mutex);
};

node::node(node_options options, std::shared_ptr<sealer> seal, observe::observer& events,
           observe::metrics& numbers, drop_list& drops)
    : m_options(std::move(options)), m_sealer(std::move(seal)), m_events(events),
      m_numbers(numbers), m_drops(drops),
      m_bulk_server(http::server_options{.address = m_options.address,
                                         .port = m_options.port,
                                         .max_connections = max_bulk_connections,
                                         .max_body_bytes = max_bulk_bytes}) {}

node::~node() {
    stop();
}

bool node::start() {
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

void node::stop() {
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

void node::receive() {
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
                     to_text(from));
        }
    }
}

void node::on_frame(std::string_view frame, const std::string& from) {
    m_numbers.count("peer_bytes_received_total", frame.size());
    m_numbers.count("peer_messages_received_total");
    if (m_drops.drops_from(from)) {
        return;
    }
    std::variant<envelope, drop_reason> opened = m_sealer->open(frame);
    if (const drop_reason* reason = std::get_if<drop_reason>(&opened)) {
        m_numbers.count(
            str_cat("peer_messages_dropped_total{reason=\"", to_string(*reason), "\"}"));
        return;
    }
    const envelope& e = std::get<envelope>(opened);
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

void node::on_reply(const envelope& e) {
    std::shared_ptr<call_group> group;
    std::size_t index = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto found = m_pending.find(e.call_id);
        if (found == m_pending.end()) {
            return;
        }
        std::tie(group, index) = found->second;
        m_pending.erase(found);
    }
    const absl::MutexLock lock(&group->mutex);
    group->replies.emplace_back(index, e.body);
}

void node::transmit(std::string_view endpoint, const envelope& e) {
    if (m_drops.drops_to(endpoint)) {
        return;
    }
    const std::string frame = m_sealer->seal(e);
    m_numbers.count("peer_bytes_sent_total", frame.size());
    m_numbers.count("peer_messages_sent_total");
    const sockaddr_in to = to_sockaddr(endpoint);
    ::sendto(m_socket, frame.data(), frame.size(), 0, reinterpret_cast<const sockaddr*>(&to),
             sizeof to);
}

void node::send(std::string_view endpoint, message_type type, std::string body) {
    transmit(endpoint, {.type = type, .stamp = m_events.stamp(), .body = std::move(body)});
}

std::optional<std::string> node::call(std::string_view endpoint, message_type type,
                                      std::string body, duration timeout) {
    std::optional<std::string> out;
    const outgoing_call only{std::string(endpoint), type, std::move(body)};
    call_many({&only, 1}, timeout, [&out](std::size_t, const std::string& reply) {
        out = reply;
        return true;
    });
    return out;
}

void node::call_many(std::span<const outgoing_call> calls, duration timeout,
                     const reply_sink& on_reply) {
    const absl::Time deadline = absl::Now() + absl::FromChrono(timeout);
    const auto group = std::make_shared<call_group>();
    const std::uint64_t first = m_next_call.fetch_add(calls.size());
    {
        const absl::MutexLock lock(&m_mutex);
        for (std::size_t i = 0; i < calls.size(); ++i) {
            m_pending[first + i] = {group, i};
        }
    }
    for (std::size_t i = 0; i < calls.size(); ++i) {
        transmit(calls[i].endpoint, {.type = calls[i].type,
                                     .call_id = first + i,
                                     .stamp = m_events.stamp(),
                                     .body = calls[i].body});
    }
    bool done = false;
    for (std::size_t taken = 0; taken < calls.size() && !done; ++taken) {
        std::pair<std::size_t, std::string> reply;
        {
            const absl::MutexLock lock(&group->mutex);
            const auto ready = [&group]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
                return !group->replies.empty();
            };
            if (!group->mutex.AwaitWithDeadline(absl::Condition(&ready), deadline)) {
                break;
            }
            reply = std::move(group->replies.front());
            group->replies.pop_front();
        }
        done = on_reply(reply.first, reply.second);
    }
    const absl::MutexLock lock(&m_mutex);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        m_pending.erase(first + i);
    }
}

std::string node::serve_bulk(const std::string& frame) {
    std::variant<envelope, drop_reason> opened = m_sealer->open(frame);
    if (const drop_reason* reason = std::get_if<drop_reason>(&opened)) {
        m_numbers.count(
            str_cat("peer_messages_dropped_total{reason=\"", to_string(*reason), "\"}"));
        return {};
    }
    const envelope& e = std::get<envelope>(opened);
    m_events.merge_stamp(e.stamp);
    const auto found = m_bulk_handlers.find(e.type);
    const std::optional<bulk_message> request = split_bulk(e.body);
    if (found == m_bulk_handlers.end() || !request) {
        return {};
    }
    const bulk_message answer = found->second(*request);
    m_numbers.count("peer_bulk_bytes_total", frame.size() + answer.payload.size());
    return m_sealer->seal({.type = e.type,
                           .is_reply = true,
                           .call_id = e.call_id,
                           .stamp = m_events.stamp(),
                           .body = join_bulk(answer)});
}

http::client_pool& node::pool_for(std::string_view endpoint) {
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

result<bulk_message> node::bulk_call(std::string_view endpoint, message_type type,
                                     const bulk_message& message, duration timeout) {
    const error failed{error_code::unavailable, str_cat("peer ", endpoint, " does not answer"),
                       run_state::unknown};
    if (m_drops.cuts(endpoint)) {
        return failed;
    }
    const std::uint64_t id = m_next_call.fetch_add(1);
    const std::string frame = m_sealer->seal(
        {.type = type, .call_id = id, .stamp = m_events.stamp(), .body = join_bulk(message)});
    http::client_pool::lease client = pool_for(endpoint).take();
    client->set_read_timeout(timeout);
    const httplib::Result answer =
        client->Post(std::string(bulk_path), frame, "application/octet-stream");
    if (!answer || answer->status != 200) {
        return failed;
    }
    std::variant<envelope, drop_reason> opened = m_sealer->open(answer->body);
    const envelope* e = std::get_if<envelope>(&opened);
    if (e == nullptr || !e->is_reply || e->call_id != id) {
        return failed;
    }
    client.keep();
    m_events.merge_stamp(e->stamp);
    std::optional<bulk_message> out = split_bulk(e->body);
    if (!out) {
        return failed;
    }
    return *std::move(out);
}

} // namespace eelgrassdoor::peer
