/// \file
/// Defines the relay of an engine's event stream to a caller.
#pragma once

#include "front/event_stream_parser.hpp"
#include "front/forwarder.hpp"

#include <functional>
#include <string>

namespace eelgrassdoor::front {

/// Relays server-sent events to the caller one by one. Only events that belong to the request are
/// relayed, and a stream that fails ends with an explicit error event. Used by one thread at a
/// time.
class event_relay {
public:
    /// Writes bytes to the caller; returns false when the caller has closed the connection.
    using writer = std::function<bool(std::string_view)>;

    /// \p is_authorized is called after each read from the target, at least every 200 ms while the
    /// next event is awaited; the stream ends when it returns false.
    event_relay(std::string request_id, std::function<bool()> is_authorized, clock_fn clock);

    /// Reads the first event, so that a failing target is detected while the request can still be
    /// retried elsewhere. Call before run(). Fails with error_code::target_failed when the stream
    /// breaks off, sends an invalid event or sends nothing for 5 s, and with
    /// error_code::unauthorized when the authorization was withdrawn.
    result<void> read_first_event(forwarded_response& answer);
    /// Relays events until the final one. On an error of the target or the authorization, writes an
    /// error event and returns the error; fails with error_code::deadline_exceeded when the caller
    /// has closed the connection.
    result<void> run(forwarded_response& answer, const writer& write);

private:
    /// Reads the next event; fails like read_first_event().
    result<std::string> next_event(forwarded_response& answer);

    const std::string m_request_id;
    const std::function<bool()> m_is_authorized;
    const clock_fn m_clock;
    /// Created by read_first_event().
    std::unique_ptr<event_stream_parser> m_parser;
    std::string m_first_event;
};

} // namespace eelgrassdoor::front
