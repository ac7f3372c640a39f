/// \file
/// Defines how an engine's event stream is passed on to a caller.
#pragma once

#include "front/event_stream_parser.hpp"
#include "front/forwarder.hpp"

#include <functional>
#include <string>

namespace eelgrassdoor::front {

/// Passes events on one by one. Only events that belong to the request are passed on, and a
/// stream that breaks ends with an explicit error event.
class event_relay {
public:
    /// Writes bytes to the caller; returns false when the caller is gone.
    using writer = std::function<bool(std::string_view)>;

    event_relay(std::string request_id, std::function<bool()> still_allowed, clock_fn clock);

    /// Reads the first event, so that a broken target is noticed before the caller has an answer.
    result<void> read_first(forwarded& answer);
    /// Passes on everything until the end. Returns how the stream ended.
    result<void> run(forwarded& answer, const writer& write);

private:
    result<std::string> next_event(forwarded& answer);

    const std::string m_request_id;
    const std::function<bool()> m_still_allowed;
    const clock_fn m_clock;
    std::unique_ptr<event_stream> m_events;
    std::string m_first;
};

} // namespace eelgrassdoor::front
