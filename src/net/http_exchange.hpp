/// \file
/// Defines one request to a server and the reading of its response as it arrives.
#pragma once

#include "base/error.hpp"
#include "net/http_parser.hpp"
#include "net/tcp_connection.hpp"

#include <memory>
#include <string>

namespace eelgrassdoor::net {

/// Sends one request over a connection. The request is written while the response is read, because
/// a server may answer before it has taken in a long body. Errors say in their run_state whether
/// any byte of the request may have reached the server.
class http_exchange {
public:
    explicit http_exchange(std::shared_ptr<tcp_connection> connection, parse_limits limits = {});
    ~http_exchange();
    http_exchange(http_exchange&&) noexcept = default;
    http_exchange& operator=(http_exchange&&) noexcept = default;

    /// Starts to write \p request.
    void send(const http_request& request);
    /// Waits for the head of the next response. May be called again after a complete response that
    /// was not the one wanted.
    task<result<void>> read_head();
    /// Waits for more of the body. Returns false when the response is complete.
    task<result<bool>> read_body();
    /// Waits for the whole response.
    task<result<void>> read_all();

    /// The response; its body holds what has arrived and was not taken out.
    http_response& response() { return m_parser->message(); }
    [[nodiscard]] bool complete() const { return m_parser->complete(); }
    [[nodiscard]] const std::shared_ptr<tcp_connection>& connection() const { return m_connection; }
    /// Whether another request may be sent over the connection.
    [[nodiscard]] bool reusable();

private:
    struct pending_write {
        std::string bytes;
        bool done = false;
        bool failed = false;
    };
    static task<> write_all(std::shared_ptr<tcp_connection> connection,
                            std::shared_ptr<pending_write> pending);
    /// Feeds what has arrived; waits for more when that changes nothing.
    task<result<void>> advance();
    [[nodiscard]] error failure(std::string_view description) const;

    std::shared_ptr<tcp_connection> m_connection;
    parse_limits m_limits;
    std::unique_ptr<response_parser> m_parser;
    std::shared_ptr<pending_write> m_write;
};

} // namespace eelgrassdoor::net
