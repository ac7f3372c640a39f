/// \file
/// Defines how a stream of events is cut into whole events. Pure: no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::serving {

/// One event of a `text/event-stream`.
struct stream_event {
    /// The event's bytes, with the empty line that ends it.
    std::string text;
    std::optional<std::uint64_t> id;
    /// The event's data lines, joined by line feeds.
    std::string data;
};

/// Collects bytes until an event is whole: a target may stop in the middle of one, and a caller
/// must not see the first half of an event that another target sends again.
class event_splitter {
public:
    /// Takes in bytes; returns the events that are whole now.
    std::vector<stream_event> feed(std::string_view bytes);
    /// Bytes of an event that has not ended.
    [[nodiscard]] const std::string& rest() const { return m_rest; }

private:
    std::string m_rest;
};

} // namespace eelgrassdoor::serving
