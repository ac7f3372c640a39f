/// \file
/// Defines incremental parsers of HTTP/1.1 messages, which do no I/O.
#pragma once

#include "net/http_message.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace eelgrassdoor::net {

/// Why a message was rejected.
enum class parse_fault { none, malformed, header_too_large, body_too_large, truncated };

/// Size limits of a message; exceeding one is a fault.
struct parse_limits {
    /// Limit of the header section, and of each element of a chunked body beside its data: the size
    /// and extensions of a chunk, and the trailer.
    std::size_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 8 * 1024 * 1024;
};

/// Interface of both parsers. After a fault no more bytes are consumed.
class http_parser {
public:
    virtual ~http_parser() = default;
    http_parser(const http_parser&) = delete;
    http_parser& operator=(const http_parser&) = delete;

    /// Parses \p bytes and returns how many were consumed. The caller must pass the others again,
    /// followed by later ones. Bytes after the end of the message are not consumed.
    virtual std::size_t feed(std::string_view bytes) = 0;
    /// Reports that the sender has closed the connection. A message that is not complete then has
    /// the fault truncated, unless its body ends with the connection.
    virtual void feed_eof() = 0;
    /// Whether any byte of the message was consumed.
    [[nodiscard]] virtual bool started() const = 0;
    /// Whether the header section is complete.
    [[nodiscard]] virtual bool has_head() const = 0;
    /// Whether the whole message was parsed.
    [[nodiscard]] virtual bool complete() const = 0;
    [[nodiscard]] parse_fault fault() const { return m_fault; }

protected:
    http_parser() = default;
    parse_fault m_fault = parse_fault::none;
};

/// Parses one request; its body is collected in the message.
class request_parser final : public http_parser {
public:
    explicit request_parser(parse_limits limits);
    ~request_parser() override;
    std::size_t feed(std::string_view bytes) override;
    void feed_eof() override;
    [[nodiscard]] bool started() const override;
    [[nodiscard]] bool has_head() const override;
    [[nodiscard]] bool complete() const override;
    /// The message so far. Its headers are complete once has_head() returns true.
    http_request& message();
    /// Whether the client waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expects_continue() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Parses one response; the caller may take the body out in parts. Informational responses (1xx)
/// before it are skipped, up to a limit; 101 is malformed, since no request asks for an upgrade,
/// and so is a status outside 100 to 599.
class response_parser final : public http_parser {
public:
    explicit response_parser(parse_limits limits);
    ~response_parser() override;
    std::size_t feed(std::string_view bytes) override;
    void feed_eof() override;
    [[nodiscard]] bool started() const override;
    [[nodiscard]] bool has_head() const override;
    [[nodiscard]] bool complete() const override;
    /// The message so far. Its body holds the bytes that were parsed and not yet taken out.
    http_response& message();

private:
    struct state;
    /// Starts to parse the next response after an informational one.
    void skip_informational();
    std::unique_ptr<state> m_state;
};

} // namespace eelgrassdoor::net
