#include "entry/silence_timer.hpp"

namespace eelgrassdoor::entry {

silence_timer::silence_timer(const net::asio::any_io_executor& executor, clock_fn clock,
                             duration timeout, duration interval, std::function<void()> on_silence)
    : m_state(std::make_shared<state>(state{.timer = net::asio::steady_timer(executor),
                                            .clock = std::move(clock),
                                            .timeout = timeout,
                                            .interval = interval,
                                            .on_silence = std::move(on_silence),
                                            .next_call = {}})) {
    restart();
    arm(m_state);
}

silence_timer::~silence_timer() {
    m_state->ended = true;
    m_state->timer.cancel();
}

void silence_timer::restart() {
    m_state->next_call = m_state->clock() + m_state->timeout;
}

void silence_timer::arm(const std::shared_ptr<state>& shared) {
    shared->timer.expires_at(shared->next_call);
    shared->timer.async_wait([shared](const net::io_error& ec) {
        if (ec || shared->ended) {
            return;
        }
        const time_point now = shared->clock();
        if (now >= shared->next_call) {
            shared->next_call = now + shared->interval;
            shared->on_silence();
        }
        if (!shared->ended) {
            arm(shared);
        }
    });
}

} // namespace eelgrassdoor::entry
