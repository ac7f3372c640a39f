#include "front/event_stream_parser.hpp"

#include "base/text.hpp"
#include "target/response_check.hpp"

namespace eelgrassdoor::front {

namespace {

constexpr std::string_view event_delimiter = "\n\n";
constexpr std::string_view final_event = "data: [DONE]\n\n";

} // namespace

bool event_stream_parser::matches_attempt(std::string_view event) const {
    std::string_view data = event;
    if (!consume_prefix(data, "data: ")) {
        return false;
    }
    return target::response_matches_attempt(data, m_attempt_id);
}

std::optional<std::string> event_stream_parser::next() {
    const std::size_t end = m_buffer.find(event_delimiter);
    if (m_has_invalid_event || m_complete || end == std::string::npos) {
        return std::nullopt;
    }
    std::string event = m_buffer.substr(0, end + event_delimiter.size());
    m_buffer.erase(0, event.size());
    if (event == final_event) {
        m_complete = true;
        return event;
    }
    if (!matches_attempt(event)) {
        m_has_invalid_event = true;
        return std::nullopt;
    }
    return event;
}

} // namespace eelgrassdoor::front
