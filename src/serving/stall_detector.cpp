#include "serving/stall_detector.hpp"

#include "serving/target_connection.hpp"

namespace eelgrassdoor::serving {

stall_detector::stall_detector(service_context& context, std::string target)
    : m_context(context), m_target(std::move(target)),
      m_state(std::make_shared<state>(context.executor)) {
    m_state->timer.expires_after(stall_timeout);
    m_state->timer.async_wait([this, shared_state = m_state](const net::io_error& ec) {
        if (ec || shared_state->ended) {
            return;
        }
        shared_state->stalled = true;
        m_context.log.write(observe::event::target_stalled, m_target);
        m_context.loads.record_stall(m_target);
        record_no_response(m_context, m_target, "no response within the stall timeout");
        m_context.messenger.schedule_digest();
    });
}

stall_detector::~stall_detector() {
    m_state->ended = true;
    m_state->timer.cancel();
    if (m_state->stalled) {
        m_context.loads.record_stall_end(m_target);
        m_context.messenger.schedule_digest();
    }
}

} // namespace eelgrassdoor::serving
