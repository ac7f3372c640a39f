/// \file
/// Defines an incremental parser of event streams. Pure: no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::serving {

/// One event of a `text/event-stream`.
struct stream_event {
    /// The event's bytes, including the empty line that ends it.
    std::string text;
    /// The numeric id; nothing when the event has none or it is not a number.
    std::optional<std::uint64_t> id;
    /// The event's data lines, joined by line feeds.
    std::string data;
    /// Whether it has neither id nor data, such as a comment that keeps the connection alive.
    bool is_comment = false;
};

/// Buffers bytes until an event is complete: a target may stop in the middle of one, and a caller
/// must not see the first half of an event that another target sends again. Not thread-safe.
class event_stream_parser {
public:
    /// Limit of an event in bytes. Events hold a few tokens each.
    static constexpr std::size_t max_event_bytes = 256UL * 1024;

    /// Appends bytes and returns the events that they complete, in order.
    std::vector<stream_event> feed(std::string_view bytes);
    /// Buffered bytes of an incomplete event.
    [[nodiscard]] const std::string& partial_event() const { return m_buffer; }
    /// Whether the incomplete event exceeds max_event_bytes; the stream must then be given up.
    [[nodiscard]] bool is_event_too_long() const { return m_buffer.size() > max_event_bytes; }

private:
    std::string m_buffer;
};

} // namespace eelgrassdoor::serving
