#include "front/event_relay.hpp"

#include "base/text.hpp"
#include "front/responses.hpp"

#include <optional>
#include <utility>

namespace eelgrassdoor::front {

namespace {

/// The key is looked at again this often while a stream is open.
constexpr duration key_check_interval = milliseconds(200);
constexpr duration max_time_between_events = seconds(5);

error broken(std::string message) {
    return {error_code::target_failed, std::move(message), run_state::unknown};
}

} // namespace

event_relay::event_relay(std::string request_id, std::function<bool()> still_allowed,
                         clock_fn clock)
    : m_request_id(std::move(request_id)), m_still_allowed(std::move(still_allowed)),
      m_clock(std::move(clock)) {}

result<std::string> event_relay::next_event(forwarded& answer) {
    const time_point give_up = m_clock() + max_time_between_events;
    while (true) {
        if (std::optional<std::string> event = m_events->next()) {
            return *std::move(event);
        }
        if (m_events->foreign()) {
            return broken("the target answered another request");
        }
        const target::read_result step = answer.answer->read(key_check_interval);
        if (!m_still_allowed()) {
            return error{error_code::unauthorized, "the key was withdrawn", run_state::ran};
        }
        if (step.state == target::read_state::data) {
            m_events->add(step.data);
        } else if (step.state != target::read_state::timeout) {
            return broken("the target's stream broke off");
        } else if (m_clock() >= give_up) {
            return broken("the target's stream went silent");
        }
    }
}

result<void> event_relay::read_first(forwarded& answer) {
    m_events = std::make_unique<event_stream>(answer.attempt_id);
    BOOST_OUTCOME_TRY(event, next_event(answer));
    m_first = std::move(event);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> event_relay::run(forwarded& answer, const writer& write) {
    result<std::string> event = std::move(m_first);
    while (event) {
        if (!write(event.value())) {
            return error{error_code::deadline_exceeded, "the caller is gone", run_state::ran};
        }
        if (m_events->complete()) {
            // Reading to the end lets the connection be used again.
            (void)answer.answer->read(key_check_interval);
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }
        event = next_event(answer);
    }
    write(str_cat("event: error\ndata: ", error_json(event.error(), m_request_id), "\n\n"));
    return event.error();
}

} // namespace eelgrassdoor::front
