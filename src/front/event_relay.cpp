#include "front/event_relay.hpp"

#include "base/text.hpp"
#include "front/responses.hpp"

#include <optional>
#include <utility>

namespace eelgrassdoor::front {

namespace {

/// How often authorization is checked while a stream is idle.
constexpr duration key_check_interval = milliseconds(200);
constexpr duration event_timeout = seconds(5);

error stream_error(std::string message) {
    return {error_code::target_failed, std::move(message), run_state::unknown};
}

} // namespace

event_relay::event_relay(std::string request_id, std::function<bool()> is_authorized,
                         clock_fn clock)
    : m_request_id(std::move(request_id)), m_is_authorized(std::move(is_authorized)),
      m_clock(std::move(clock)) {}

result<std::string> event_relay::next_event(forwarded_response& answer) {
    const time_point deadline = m_clock() + event_timeout;
    while (true) {
        if (std::optional<std::string> event = m_parser->next()) {
            return *std::move(event);
        }
        if (m_parser->has_invalid_event()) {
            return stream_error(
                "the target sent an event that is malformed or belongs to another request");
        }
        const target::read_result step = answer.exchange->read(key_check_interval);
        if (!m_is_authorized()) {
            return error{error_code::unauthorized, "the API key was withdrawn", run_state::ran};
        }
        if (step.state == target::read_state::data) {
            m_parser->append(step.data);
        } else if (step.state != target::read_state::timeout) {
            return stream_error("the target's event stream broke off");
        } else if (m_clock() >= deadline) {
            return stream_error("the target's event stream timed out");
        }
    }
}

result<void> event_relay::read_first_event(forwarded_response& answer) {
    m_parser = std::make_unique<event_stream_parser>(answer.attempt_id);
    BOOST_OUTCOME_TRY(event, next_event(answer));
    m_first_event = std::move(event);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> event_relay::run(forwarded_response& answer, const writer& write) {
    result<std::string> event = std::move(m_first_event);
    while (event) {
        if (!write(event.value())) {
            return error{error_code::deadline_exceeded, "the caller closed the connection",
                         run_state::ran};
        }
        if (m_parser->complete()) {
            // Reading the end of the body makes the connection to the target reusable.
            (void)answer.exchange->read(key_check_interval);
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }
        event = next_event(answer);
    }
    write(str_cat("event: error\ndata: ", error_json(event.error(), m_request_id), "\n\n"));
    return event.error();
}

} // namespace eelgrassdoor::front
