#include "observe/decision_log.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace eelgrassdoor::observe {

namespace {

/// Bytes of lines that wait for a slow reader.
constexpr std::size_t max_pending_bytes = 64 * 1024;

void append_json_text(std::string& out, std::string_view text) {
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
    : m_options(std::move(options)), m_clock(std::move(clock)),
      m_ordinary{m_options.burst_lines, m_clock()}, m_warnings{m_options.burst_lines, m_clock()} {
    const int flags = ::fcntl(m_options.descriptor, F_GETFL);
    if (flags >= 0) {
        (void)::fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool decision_log::take(line_budget& budget) {
    const time_point now = m_clock();
    const double filled =
        budget.left + to_seconds(now - budget.filled_at) * m_options.lines_per_second;
    budget.left = std::min(m_options.burst_lines, filled);
    budget.filled_at = now;
    if (budget.left < 1) {
        return false;
    }
    budget.left -= 1;
    return true;
}

void decision_log::write(event id, std::string_view subject,
                         std::initializer_list<log_field> fields) {
    const event_info& info = info_of(id);
    line_budget& budget = info.level == severity::info ? m_ordinary : m_warnings;
    if (m_pending.size() > max_pending_bytes || !take(budget)) {
        ++m_dropped;
        return;
    }
    str_append(m_pending, "{\"ms\":", wall_clock_ms(), ",\"host\":\"", m_options.host,
               "\",\"event\":", static_cast<int>(id), ",\"name\":\"", info.name, "\"");
    if (!subject.empty()) {
        m_pending += ",\"subject\":";
        append_json_text(m_pending, subject);
    }
    for (const log_field& field : fields) {
        str_append(m_pending, ",\"", field.first, "\":");
        append_json_text(m_pending, field.second);
    }
    m_pending += "}\n";
}

void decision_log::note_dropped() {
    if (m_dropped == m_reported) {
        return;
    }
    const event_info& info = info_of(event::log_lines_dropped);
    str_append(m_pending, "{\"ms\":", wall_clock_ms(), ",\"host\":\"", m_options.host,
               "\",\"event\":", static_cast<int>(info.id), ",\"name\":\"", info.name,
               "\",\"lines\":", m_dropped - m_reported, "}\n");
    m_reported = m_dropped;
}

void decision_log::flush() {
    note_dropped();
    while (!m_pending.empty()) {
        const ssize_t written = ::write(m_options.descriptor, m_pending.data(), m_pending.size());
        if (written <= 0) {
            // The reader is slow: the lines wait, up to max_pending_bytes.
            return;
        }
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace eelgrassdoor::observe
