/// \file
/// Defines the event recorder, which writes each event to the log and to the timeline file.
#pragma once

#include "observe/event.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrassdoor::observe {

/// Name and value of one field of an event.
using event_field = std::pair<std::string_view, std::string>;

/// Identity of the writing process and location of its timeline file.
struct event_recorder_options {
    std::string host;
    std::string availability_zone;
    std::uint64_t incarnation = 0;
    /// The timeline file, to which events are appended; no file is written when empty.
    std::string timeline_path;
};

/// Writes numbered events as JSON lines. Every event carries a Lamport timestamp, so that the
/// timelines of all processes can be merged without comparing wall clocks. Thread-safe.
class event_recorder {
public:
    explicit event_recorder(event_recorder_options options);

    /// Writes the event \p id to the log and, if there is one, to the timeline file. \p subject is
    /// the id of the request, job, host or key concerned; it is left out when empty.
    void emit(event id, std::string_view subject, std::initializer_list<event_field> fields = {});

    /// Advances the Lamport clock and returns the timestamp to send with a message.
    std::uint64_t stamp();
    /// Advances the Lamport clock to at least \p received, the timestamp of a received message.
    void merge_stamp(std::uint64_t received);

    [[nodiscard]] const event_recorder_options& options() const { return m_options; }

private:
    const event_recorder_options m_options;
    std::atomic<std::uint64_t> m_stamp{0};
    absl::Mutex m_mutex;
    std::ofstream m_timeline ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::observe
