/// \file
/// Defines how the server-sent events of an engine are cut and checked.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::front {

/// Cuts a stream into whole events and checks that each belongs to the request.
class event_stream {
public:
    /// \p attempt_id is the id that the engine puts into every event.
    explicit event_stream(std::string attempt_id) : m_attempt_id(std::move(attempt_id)) {}

    /// Adds bytes as they came.
    void add(std::string_view bytes) { m_unread.append(bytes); }
    /// The next whole event with its blank line, or nothing.
    std::optional<std::string> next();
    /// Whether an event came that belongs to another request or cannot be read.
    [[nodiscard]] bool foreign() const { return m_foreign; }
    /// Whether the final `[DONE]` event has come.
    [[nodiscard]] bool complete() const { return m_complete; }

private:
    bool belongs(std::string_view event) const;

    const std::string m_attempt_id;
    std::string m_unread;
    bool m_foreign = false;
    bool m_complete = false;
};

} // namespace eelgrassdoor::front
