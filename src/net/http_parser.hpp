/// \file
/// Defines the incremental parser of HTTP/1.1 messages. It does no I/O.
#pragma once

#include "net/http_message.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace eelgrassdoor::net {

/// Why a message could not be read.
enum class parse_fault { none, malformed, header_too_large, body_too_large, truncated };

/// Bounds of a message; exceeding one is a fault.
struct parse_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 8 * 1024 * 1024;
};

/// What both parsers share: bytes go in, the head and then the body come out.
class http_parser {
public:
    virtual ~http_parser() = default;
    http_parser(const http_parser&) = delete;
    http_parser& operator=(const http_parser&) = delete;

    /// Takes in the start of \p bytes and returns how many were used. Stops at the message's end,
    /// so that bytes behind it stay with the caller.
    virtual std::size_t feed(std::string_view bytes) = 0;
    /// The sender has closed the connection.
    virtual void feed_eof() = 0;
    /// Whether the first byte of a message was taken in.
    [[nodiscard]] virtual bool started() const = 0;
    [[nodiscard]] virtual bool has_head() const = 0;
    [[nodiscard]] virtual bool complete() const = 0;
    [[nodiscard]] parse_fault fault() const { return m_fault; }

protected:
    http_parser() = default;
    parse_fault m_fault = parse_fault::none;
};

/// Reads one request; its body is collected in the message.
class request_parser final : public http_parser {
public:
    explicit request_parser(parse_limits limits);
    ~request_parser() override;
    std::size_t feed(std::string_view bytes) override;
    void feed_eof() override;
    [[nodiscard]] bool started() const override;
    [[nodiscard]] bool has_head() const override;
    [[nodiscard]] bool complete() const override;
    /// The message so far. Its head is complete when has_head().
    http_request& message();
    /// Whether the sender waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expects_continue() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Reads one response; the caller may take the body in parts.
class response_parser final : public http_parser {
public:
    explicit response_parser(parse_limits limits);
    ~response_parser() override;
    std::size_t feed(std::string_view bytes) override;
    void feed_eof() override;
    [[nodiscard]] bool started() const override;
    [[nodiscard]] bool has_head() const override;
    [[nodiscard]] bool complete() const override;
    /// The message so far; its body holds what has arrived and was not taken out.
    http_response& message();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace eelgrassdoor::net
