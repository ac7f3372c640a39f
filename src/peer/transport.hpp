/// \file
/// Defines the transport between daemons: UDP datagrams for small messages, HTTP over TCP for bulk
/// calls.
#pragma once

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/server.hpp"
#include "observe/event_recorder.hpp"
#include "observe/metrics.hpp"
#include "peer/drop_list.hpp"
#include "peer/envelope.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <thread>

namespace eelgrassdoor::http {
class client_pool;
}

namespace eelgrassdoor::peer {

/// The local address and port, used for both UDP and TCP.
struct transport_options {
    std::string address;
    int port = 0;
    /// Bounds the memory of bulk messages that arrive; null for an account of this transport alone.
    std::shared_ptr<http::request_intake> intake = nullptr;
};

/// One request of transport::call_many().
struct outgoing_call {
    /// `ADDRESS:PORT` of the peer.
    std::string endpoint;
    message_type type = message_type::gossip;
    std::string body;
};

/// A bulk message: an encoded message of message.hpp and raw payload. Together they may take up to
/// 64 MiB.
struct bulk_message {
    std::string head;
    std::string payload;
};

/// Sends and receives peer messages. Datagrams are neither retransmitted nor acknowledged.
/// Thread-safe after start(). Datagram handlers run on the receiver thread and must not block; bulk
/// handlers run concurrently on the threads of the bulk server.
class transport {
public:
    /// Handles a datagram from the given endpoint. Returns the body of the reply, or an empty
    /// optional when none is to be sent.
    using handler = std::function<std::optional<std::string>(const envelope&, std::string_view)>;
    /// Handles a bulk call and returns its reply.
    using bulk_handler = std::function<bulk_message(const bulk_message&)>;
    /// Receives the body of the reply to call \p index. Returns true to stop waiting for the
    /// others.
    using reply_handler = std::function<bool(std::size_t index, const std::string& body)>;

    /// The referenced objects must outlive the transport.
    transport(transport_options options, std::shared_ptr<frame_authenticator> authenticator,
              observe::event_recorder& events, observe::metrics& metrics, drop_list& drops);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Registers the handler of a message type. Call before start().
    void handle(message_type type, handler h) { m_handlers[type] = std::move(h); }
    void handle_bulk(message_type type, bulk_handler h) { m_bulk_handlers[type] = std::move(h); }

    /// Binds the UDP and TCP ports and starts receiving. Returns false when a port is in use.
    bool start();
    /// Stops receiving and joins all threads. May be called more than once.
    void stop();

    /// Sends a one-way datagram. Delivery is not guaranteed.
    void send(std::string_view endpoint, message_type type, std::string body);
    /// Sends a request datagram and waits for its reply. Returns an empty optional on timeout.
    std::optional<std::string> call(std::string_view endpoint, message_type type, std::string body,
                                    duration timeout);
    /// Sends requests in parallel and waits until all replies have arrived, \p on_reply returns
    /// true, or \p timeout has passed. \p on_reply runs on the calling thread, with no lock held.
    void call_many(std::span<const outgoing_call> calls, duration timeout,
                   const reply_handler& on_reply);
    /// Sends a bulk call over TCP and waits for its reply. \p timeout bounds each read, not the
    /// whole call. Fails with error_code::unavailable and run_state::unknown.
    result<bulk_message> bulk_call(std::string_view endpoint, message_type type,
                                   const bulk_message& message, duration timeout);

private:
    struct reply_queue;

    /// Receives datagrams until stop(); body of the receiver thread.
    void receive();
    /// Verifies a received frame and passes it to its handler; a frame that fails is only counted.
    void on_frame(std::string_view frame, const std::string& from);
    /// Passes a reply to the call_many() that waits for it; a late one is ignored.
    void on_reply(const envelope& e);
    /// Signs and sends one datagram, unless the drop list blocks the endpoint.
    void transmit(std::string_view endpoint, const envelope& e);
    /// Returns the signed reply frame, or an empty string when \p frame is rejected.
    std::string serve_bulk(const std::string& frame);
    /// The pool of connections to a peer's bulk server, created on first use.
    http::client_pool& client_pool_for(std::string_view endpoint);

    const transport_options m_options;
    const std::shared_ptr<frame_authenticator> m_authenticator;
    observe::event_recorder& m_events;
    observe::metrics& m_metrics;
    drop_list& m_drops;
    std::map<message_type, handler> m_handlers;
    std::map<message_type, bulk_handler> m_bulk_handlers;
    int m_socket = -1;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_next_call_id{1};
    std::thread m_receiver;
    http::server m_bulk_server;

    absl::Mutex m_mutex;
    /// Unanswered requests by call id: the queue for the reply and the index within call_many().
    std::map<std::uint64_t, std::pair<std::shared_ptr<reply_queue>, std::size_t>>
        m_pending ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::unique_ptr<http::client_pool>, std::less<>>
        m_pools ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::peer
