/// \file
/// Defines the observer, which writes each event to the log and to the time line.
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

/// One named value of an event.
using field = std::pair<std::string_view, std::string>;

/// Who writes the events of this process, and where.
struct observer_options {
    std::string host;
    std::string availability_zone;
    std::uint64_t incarnation = 0;
    /// The time line file; none is written when empty.
    std::string timeline_path;
};

/// Writes numbered events. Every event carries a Lamport stamp, so that the time lines of all
/// processes can be merged without comparing wall clocks. Thread-safe.
class observer {
public:
    explicit observer(observer_options options);

    /// Records \p id for the request or job \p subject, which may be empty.
    void emit(event id, std::string_view subject, std::initializer_list<field> fields = {});

    /// The stamp to send along with a message.
    std::uint64_t stamp();
    /// Takes in the stamp that came with a message.
    void merge_stamp(std::uint64_t received);

    [[nodiscard]] const observer_options& options() const { return m_options; }

private:
    const observer_options m_options;
    std::atomic<std::uint64_t> m_stamp{0};
    absl::Mutex m_mutex;
    std::ofstream m_timeline ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::observe
