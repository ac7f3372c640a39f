#include "serving/stall_detector.hpp"

namespace eelgrassdoor::serving {

stall_watch::stall_watch(host_context& context, std::string target)
    : m_context(context), m_target(std::move(target)),
      m_state(std::make_shared<state>(context.executor)) {
    m_state->timer.expires_after(stall_time);
    m_state->timer.async_wait([this, watch = m_state](const net::io_error& ec) {
        if (ec || watch->ended) {
            return;
        }
        watch->stalled = true;
        m_context.log.write(observe::event::target_stalled, m_target);
        m_context.loads.note_stalled(m_target);
        m_context.link.note_change();
    });
}

stall_watch::~stall_watch() {
    m_state->ended = true;
    m_state->timer.cancel();
    if (m_state->stalled) {
        m_context.loads.note_stall_ended(m_target);
        m_context.link.note_change();
    }
}

} // namespace eelgrassdoor::serving
