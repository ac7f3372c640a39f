#include "serving/event_stream_parser.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace eelgrassdoor::serving {

namespace {

/// Returns the offset behind the empty line that ends the first event of \p text, or npos when the
/// event is incomplete.
std::size_t find_event_end(std::string_view text) {
    const std::size_t plain = text.find("\n\n");
    const std::size_t with_cr = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && with_cr == std::string_view::npos) {
        return std::string_view::npos;
    }
    return plain < with_cr ? plain + 2 : with_cr + 4;
}

/// Strips the optional space after the colon of a field.
std::string_view field_value(std::string_view line) {
    return !line.empty() && line.front() == ' ' ? line.substr(1) : line;
}

stream_event parse_event(std::string_view text) {
    stream_event event{.text = std::string(text), .id = std::nullopt, .data = {}};
    bool has_data = false;
    for (std::string_view line : split(text, '\n')) {
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (consume_prefix(line, "id:")) {
            std::uint64_t id = 0;
            if (parse_int(field_value(line), id)) {
                event.id = id;
            }
        } else if (consume_prefix(line, "data:")) {
            event.data += has_data ? "\n" : "";
            event.data += field_value(line);
            has_data = true;
        }
    }
    event.is_comment = !event.id && !has_data;
    return event;
}

} // namespace

std::vector<stream_event> event_stream_parser::feed(std::string_view bytes) {
    m_buffer += bytes;
    std::vector<stream_event> events;
    std::size_t begin = 0;
    for (;;) {
        const std::string_view open = std::string_view(m_buffer).substr(begin);
        const std::size_t end = find_event_end(open);
        if (end == std::string_view::npos) {
            break;
        }
        events.push_back(parse_event(open.substr(0, end)));
        begin += end;
    }
    m_buffer.erase(0, begin);
    return events;
}

} // namespace eelgrassdoor::serving
