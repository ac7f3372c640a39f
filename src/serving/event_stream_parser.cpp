#include "serving/event_stream_parser.hpp"

#include "base/text.hpp"

#include <algorithm>

namespace eelgrassdoor::serving {

namespace {

/// Where the event at the start of \p text ends, behind its empty line; npos when it does not yet.
std::size_t find_end(std::string_view text) {
    const std::size_t plain = text.find("\n\n");
    const std::size_t with_cr = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && with_cr == std::string_view::npos) {
        return std::string_view::npos;
    }
    return plain < with_cr ? plain + 2 : with_cr + 4;
}

std::string_view value_of(std::string_view line) {
    return !line.empty() && line.front() == ' ' ? line.substr(1) : line;
}

stream_event parse_event(std::string_view text) {
    stream_event event{std::string(text), std::nullopt, {}};
    bool has_data = false;
    for (std::string_view line : split(text, '\n')) {
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (consume_prefix(line, "id:")) {
            std::uint64_t id = 0;
            if (parse_int(value_of(line), id)) {
                event.id = id;
            }
        } else if (consume_prefix(line, "data:")) {
            event.data += has_data ? "\n" : "";
            event.data += value_of(line);
            has_data = true;
        }
    }
    return event;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes) {
    m_rest += bytes;
    std::vector<stream_event> events;
    std::size_t begin = 0;
    for (;;) {
        const std::string_view open = std::string_view(m_rest).substr(begin);
        const std::size_t end = find_end(open);
        if (end == std::string_view::npos) {
            break;
        }
        events.push_back(parse_event(open.substr(0, end)));
        begin += end;
    }
    m_rest.erase(0, begin);
    return events;
}

} // namespace eelgrassdoor::serving
