/// \file
/// Defines the parser for an engine's server-sent events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::front {

/// Splits a byte stream into events and checks that each belongs to the request. Not thread-safe.
class event_stream_parser {
public:
    /// \p attempt_id is the id that the engine must echo in every event.
    explicit event_stream_parser(std::string attempt_id) : m_attempt_id(std::move(attempt_id)) {}

    /// Appends received bytes, split at any position.
    void append(std::string_view bytes) { m_buffer.append(bytes); }
    /// Returns the next complete event with its terminating blank line. Returns an empty optional
    /// when none is buffered, and after an invalid or the final event.
    std::optional<std::string> next();
    /// Whether an event was malformed or belonged to another request.
    [[nodiscard]] bool has_invalid_event() const { return m_has_invalid_event; }
    /// Whether next() has returned the final `[DONE]` event.
    [[nodiscard]] bool complete() const { return m_complete; }

private:
    bool matches_attempt(std::string_view event) const;

    const std::string m_attempt_id;
    std::string m_buffer;
    bool m_has_invalid_event = false;
    bool m_complete = false;
};

} // namespace eelgrassdoor::front
