/// \file
/// Defines the transport between daemons: UDP for small messages, TCP for bulk.
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

/// Where a daemon listens for its peers.
struct node_options {
    std::string address;
    int port = 0;
};

/// One request of call_many().
struct outgoing_call {
    std::string endpoint;
    message_type type = message_type::gossip;
    std::string body;
};

/// A bulk message: a small head and any amount of payload.
struct bulk_message {
    std::string head;
    std::string payload;
};

/// Sends and receives messages. Thread-safe. Handlers of small messages run on the receiving
/// thread and must not block; handlers of bulk messages run on threads of their own.
class node {
public:
    /// Returns the body of the reply, or nothing when the message wants none.
    using handler = std::function<std::optional<std::string>(const envelope&, std::string_view)>;
    using bulk_handler = std::function<bulk_message(const bulk_message&)>;
    /// Takes in a reply; returns whether no more replies are needed.
    using reply_sink = std::function<bool(std::size_t index, const std::string& body)>;

    node(node_options options, std::shared_ptr<sealer> seal, observe::observer& events,
         observe::metrics& numbers, drop_list& drops);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Sets a handler; call before start().
    void handle(message_type type, handler h) { m_handlers[type] = std::move(h); }
    void handle_bulk(message_type type, bulk_handler h) { m_bulk_handlers[type] = std::move(h); }

    /// Binds both ports; returns false when one is taken.
    bool start();
    void stop();

    /// Sends a message that may be lost.
    void send(std::string_view endpoint, message_type type, std::string body);
    /// Sends a request and waits for its reply.
    std::optional<std::string> call(std::string_view endpoint, message_type type, std::string body,
                                    duration timeout);
    /// Sends requests in parallel. \p on_reply is called under no lock, one reply at a time.
    void call_many(std::span<const outgoing_call> calls, duration timeout,
                   const reply_sink& on_reply);
    /// Sends a bulk request over TCP and waits for its reply.
    result<bulk_message> bulk_call(std::string_view endpoint, message_type type,
                                   const bulk_message& message, duration timeout);

private:
    struct call_group;

    void receive();
    void on_frame(std::string_view frame, const std::string& from);
    void on_reply(const envelope& e);
    void transmit(std::string_view endpoint, const envelope& e);
    std::string serve_bulk(const std::string& frame);
    http::client_pool& pool_for(std::string_view endpoint);

    const node_options m_options;
    const std::shared_ptr<sealer> m_sealer;
    observe::observer& m_events;
    observe::metrics& m_numbers;
    drop_list& m_drops;
    std::map<message_type, handler> m_handlers;
    std::map<message_type, bulk_handler> m_bulk_handlers;
    int m_socket = -1;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_next_call{1};
    std::thread m_receiver;
    http::server m_bulk_server;

    absl::Mutex m_mutex;
    std::map<std::uint64_t, std::pair<std::shared_ptr<call_group>, std::size_t>>
        m_pending ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::unique_ptr<http::client_pool>, std::less<>>
        m_pools ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::peer
