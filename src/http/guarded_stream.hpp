/// \file
/// Defines the stream of one connection, which bounds what the HTTP library reads from it.
#pragma once

#include "http/body_meter.hpp"
#include "http/request_intake.hpp"

#include <httplib.h>

#include <array>
#include <functional>
#include <optional>
#include <poll.h>

namespace eelgrassdoor::http {

/// Limits on one request.
struct stream_limits {
    /// Longest wait for one read or write.
    duration io_timeout;
    std::size_t max_body_bytes;
    /// How long a head may take from its first byte.
    duration head_time;
    /// How long a body may take besides the time that its content has at the least rate.
    duration body_time;
    /// Bytes of content per second.
    std::size_t least_rate;
};

/// Reads and writes a socket. The library keeps whatever it reads, so that each read is checked
/// first; a refused request reads as a broken connection. Used by one thread.
class guarded_stream : public httplib::Stream {
public:
    /// \param group names the server in \p intake. \param stopping ends the wait for a request.
    guarded_stream(socket_t socket, stream_limits limits, request_intake& intake, const void* group,
                   std::function<bool()> stopping);

    /// Waits for the first byte of a request and starts its account; false when none comes.
    bool begin_request(duration timeout);
    /// Tells the framing of the body, once the head has been read.
    void begin_body(const httplib::Request& request);
    /// Ends the account. False when the request did not arrive as a whole, so that what follows on
    /// the connection cannot be told apart from it.
    bool end_request();
    [[nodiscard]] refusal refused() const { return m_refused; }

    [[nodiscard]] bool is_readable() const override { return wait(POLLIN, m_limits.io_timeout); }
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* out, std::size_t size) override;
    ssize_t write(const char* text, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override { return m_socket; }

private:
    /// Fills the empty buffer; false at the end of the connection or of the request's time.
    bool fill();
    /// Whether the socket gets ready for \p events in time.
    [[nodiscard]] bool wait(short events, duration timeout) const;
    /// The time that the request may still take to arrive.
    [[nodiscard]] duration time_left() const;
    /// Checks \p bytes that the library is about to get.
    void check(std::string_view bytes);
    /// Reads and drops the rest of a body that is a little too large, as most clients look for the
    /// response only after they have sent all.
    void drain();

    const socket_t m_socket;
    const stream_limits m_limits;
    request_intake& m_intake;
    const void* const m_group;
    const std::function<bool()> m_stopping;
    std::optional<request_intake::entry> m_entry;
    std::optional<body_meter> m_body;
    std::size_t m_head_bytes = 0;
    refusal m_refused = refusal::none;
    std::array<char, 4096> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace eelgrassdoor::http
