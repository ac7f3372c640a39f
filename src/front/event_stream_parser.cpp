#include "front/event_stream_parser.hpp"

#include "base/text.hpp"
#include "target/response_check.hpp"

namespace eelgrassdoor::front {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view final_event = "data: [DONE]\n\n";

} // namespace

bool event_stream::belongs(std::string_view event) const {
    std::string_view data = event;
    if (!consume_prefix(data, "data: ")) {
        return false;
    }
    return target::answer_belongs(data, m_attempt_id);
}

std::optional<std::string> event_stream::next() {
    const std::size_t end = m_unread.find(event_end);
    if (m_foreign || m_complete || end == std::string::npos) {
        return std::nullopt;
    }
    std::string event = m_unread.substr(0, end + event_end.size());
    m_unread.erase(0, event.size());
    if (event == final_event) {
        m_complete = true;
        return event;
    }
    if (!belongs(event)) {
        m_foreign = true;
        return std::nullopt;
    }
    return event;
}

} // namespace eelgrassdoor::front
