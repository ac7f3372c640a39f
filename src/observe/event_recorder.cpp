#include "base/clock.hpp"
#include "observe/event_recorder.hpp"
#include "observe/log.hpp"

#include <nlohmann/json.hpp>

namespace eelgrassdoor::observe {

namespace {

std::int64_t monotonic_ns() {
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

} // namespace

observer::observer(observer_options options) : m_options(std::move(options)) {
    if (!m_options.timeline_path.empty()) {
        const absl::MutexLock lock(&m_mutex);
        m_timeline.open(m_options.timeline_path, std::ios::app);
    }
}

void observer::emit(event id, std::string_view subject, std::initializer_list<field> fields) {
    const event_info& info = info_of(id);
    nlohmann::ordered_json line;
    line["stamp"] = stamp();
    line["monotonic_ns"] = monotonic_ns();
    line["host"] = m_options.host;
    line["incarnation"] = m_options.incarnation;
    line["event"] = static_cast<int>(id);
    line["name"] = info.name;
    if (!subject.empty()) {
        line["subject"] = subject;
    }
    for (const field& f : fields) {
        line[std::string(f.first)] = f.second;
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    write_log(info.level, text);
    const absl::MutexLock lock(&m_mutex);
    if (m_timeline.is_open()) {
        m_timeline << text << '\n' << std::flush;
    }
}

std::uint64_t observer::stamp() {
    return ++m_stamp;
}

void observer::merge_stamp(std::uint64_t received) {
    std::uint64_t seen = m_stamp.load();
    while (seen < received && !m_stamp.compare_exchange_weak(seen, received)) {
    }
}

} // namespace eelgrassdoor::observe
