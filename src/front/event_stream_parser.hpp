/// \file
/// Defines how the server-sent events of an engine are cut and checked.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::front {

/// Cuts a stream into whole events and checks that each belongs to the request.
class event_stream_parser {
public:
    /// \p attempt_id is the id that the engine puts into every event.
    explicit event_stream_parser(std::string attempt_id) : m_attempt_id(std::move(attempt_id)) {}

    /// Adds bytes as they came.
    void append(std::string_view bytes) { m_buffer.append(bytes); }
    /// The next whole event with its blank line, or nothing.
    std::optional<std::string> next();
    /// Whether an event came that belongs to another request or cannot be read.
    [[nodiscard]] bool has_invalid_event() const { return m_has_invalid_event; }
    /// Whether the final `[DONE]` event has come.
    [[nodiscard]] bool complete() const { return m_complete; }

private:
    bool matches_attempt(std::string_view event) const;

    const std::string m_attempt_id;
    std::string m_buffer;
    bool m_has_invalid_event = false;
    bool m_complete = false;
};

} // namespace eelgrassdoor::front
