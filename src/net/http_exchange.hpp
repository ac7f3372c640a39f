/// \file
/// Defines the exchange of one request and its response, which is read as it arrives.
#pragma once

#include "base/error.hpp"
#include "net/http_parser.hpp"
#include "net/memory_budget.hpp"
#include "net/notification.hpp"
#include "net/tcp_connection.hpp"

#include <functional>
#include <memory>
#include <string>

namespace eelgrassdoor::net {

/// Sends one request over a connection. The request is written while the response is read, because
/// a server may respond before it has read a long body. An error has run_state::not_run only before
/// send(), else run_state::unknown. A response that ends with its connection is complete only if
/// the connection stays sound until the request has been written. Must be used on the thread of its
/// event loop.
class http_exchange {
public:
    /// The response is limited by \p limits and by what \p budget, if any, has left.
    explicit http_exchange(std::shared_ptr<tcp_connection> connection, parse_limits limits = {},
                           memory_budget* budget = nullptr);
    ~http_exchange();
    http_exchange(http_exchange&&) noexcept = default;
    http_exchange& operator=(http_exchange&&) noexcept = default;

    /// Starts to write \p request; returns at once.
    void send(const http_request& request);
    /// Calls \p has_room with the bytes that a response needs, as far as they are known, before it
    /// is read any further. The response fails when \p has_room returns false.
    void set_has_room(std::function<bool(std::size_t bytes)> has_room) {
        m_has_room = std::move(has_room);
    }
    /// Waits for the head of the next response. After a complete response it waits for another one,
    /// for the case that the first belonged to a different request.
    task<result<void>> read_head();
    /// Waits until the body is not empty. Returns false when the response is complete and its body
    /// was taken.
    task<result<bool>> read_body();
    /// Waits for the complete response. Calls \p on_progress, if set, whenever bytes have arrived.
    task<result<void>> read_all(std::function<void()> on_progress = nullptr);

    /// The response so far. The caller may take received bytes out of its body.
    http_response& response() { return m_parser->message(); }
    [[nodiscard]] bool complete() const { return m_parser->complete(); }
    [[nodiscard]] const std::shared_ptr<tcp_connection>& connection() const { return m_connection; }
    /// Whether the connection is in a state in which it can carry another request.
    [[nodiscard]] bool reusable();

private:
    struct pending_write {
        explicit pending_write(const asio::any_io_executor& executor) : on_done(executor) {}

        notification on_done;
        std::string bytes;
        bool done = false;
        bool failed = false;
    };
    static task<> write_all(std::shared_ptr<tcp_connection> connection,
                            std::shared_ptr<pending_write> pending);
    /// Waits until the request has been written. Returns whether it was, rather than that the
    /// connection failed.
    task<bool> wait_until_sent();
    /// Parses the received bytes; when there are none to parse, waits for more.
    task<result<void>> advance();
    /// Whether there is memory for what the response holds, and for the \p expected length of its
    /// body.
    bool reserve_memory(std::uint64_t expected);
    [[nodiscard]] error failure(std::string_view description) const;

    std::shared_ptr<tcp_connection> m_connection;
    parse_limits m_limits;
    memory_reservation m_memory;
    std::function<bool(std::size_t bytes)> m_has_room;
    std::unique_ptr<response_parser> m_parser;
    std::shared_ptr<pending_write> m_write;
};

} // namespace eelgrassdoor::net
