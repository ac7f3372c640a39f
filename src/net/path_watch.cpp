#include "net/path_watch.hpp"

namespace eelgrassdoor::net {

namespace {

/// Bytes that are sent to a dead path are noticed within this and one interval, 3 s together, after
/// which the platform considers a silent connection dead.
constexpr duration max_silence = milliseconds(2500);

} // namespace

bool path_watch::is_dead(const send_state& state, time_point now) {
    if (!state.awaits_acknowledgement) {
        m_waiting_since.reset();
        return false;
    }
    const bool is_waiting = m_waiting_since.has_value();
    const bool has_progress = state.acknowledged_bytes != m_acknowledged;
    const bool has_answer = is_waiting && state.since_acknowledgement &&
                            now - *state.since_acknowledgement > *m_waiting_since;
    if (!is_waiting || has_progress || has_answer) {
        m_waiting_since = now;
        m_acknowledged = state.acknowledged_bytes;
    }
    return now - *m_waiting_since >= max_silence;
}

} // namespace eelgrassdoor::net
