#include "observe/decision_log.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace eelgrassdoor::observe {

namespace {

/// Size of the output buffer, above which lines are dropped until the reader catches up.
constexpr std::size_t max_pending_bytes = 64 * 1024;

/// Appends \p text as a JSON string; control characters become spaces.
void append_json_string(std::string& out, std::string_view text) {
    out += '"';
    for (char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            out += ' ';
        } else {
            out += c;
        }
    }
    out += '"';
}

} // namespace

decision_log::decision_log(decision_log_options options, clock_fn clock)
    : m_options(std::move(options)),
      m_clock(std::move(clock)), m_info_bucket{m_options.burst_lines, m_clock()},
      m_warning_bucket{m_options.burst_lines, m_clock()} {
    const int flags = ::fcntl(m_options.descriptor, F_GETFL);
    if (flags >= 0) {
        (void)::fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool decision_log::try_take(token_bucket& bucket) {
    const time_point now = m_clock();
    const double refilled =
        bucket.tokens + to_seconds(now - bucket.refilled_at) * m_options.lines_per_second;
    bucket.tokens = std::min(m_options.burst_lines, refilled);
    bucket.refilled_at = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void decision_log::write(event id, std::string_view subject,
                         std::initializer_list<log_field> fields) {
    const event_info& info = find_event_info(id);
    token_bucket& bucket = info.level == severity::info ? m_info_bucket : m_warning_bucket;
    if (m_pending.size() > max_pending_bytes || !try_take(bucket)) {
        ++m_dropped;
        return;
    }
    str_append(m_pending, "{\"ms\":", wall_clock_ms(), ",\"host\":\"", m_options.host,
               "\",\"event\":", static_cast<int>(id), ",\"name\":\"", info.name, "\"");
    if (!subject.empty()) {
        m_pending += ",\"subject\":";
        append_json_string(m_pending, subject);
    }
    for (const log_field& field : fields) {
        str_append(m_pending, ",\"", field.first, "\":");
        append_json_string(m_pending, field.second);
    }
    m_pending += "}\n";
}

void decision_log::append_dropped_count() {
    if (m_dropped == m_dropped_reported) {
        return;
    }
    const event_info& info = find_event_info(event::log_lines_dropped);
    str_append(m_pending, "{\"ms\":", wall_clock_ms(), ",\"host\":\"", m_options.host,
               "\",\"event\":", static_cast<int>(info.id), ",\"name\":\"", info.name,
               "\",\"lines\":", m_dropped - m_dropped_reported, "}\n");
    m_dropped_reported = m_dropped;
}

void decision_log::flush() {
    append_dropped_count();
    while (!m_pending.empty()) {
        const ssize_t written = ::write(m_options.descriptor, m_pending.data(), m_pending.size());
        if (written <= 0) {
            // The descriptor would block; the lines stay buffered, up to max_pending_bytes.
            return;
        }
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace eelgrassdoor::observe
