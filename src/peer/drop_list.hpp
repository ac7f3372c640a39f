/// \file
/// Defines fault injection for tests: a list of endpoints whose traffic this process drops.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <set>
#include <string>
#include <string_view>

namespace eelgrassdoor::peer {

/// Simulates network partitions inside the process, so that scenarios do not have to change the
/// machine's network configuration. The file holds lines `in ADDRESS:PORT` and
/// `out ADDRESS:PORT`; an empty path or a missing file drops nothing. Thread-safe.
class drop_list {
public:
    /// The list is empty until reload() is called.
    explicit drop_list(std::string path) : m_path(std::move(path)) {}

    /// Replaces the list by the current content of the file. Changes of the file have no effect
    /// until this is called.
    void reload();
    /// Whether messages received from \p endpoint (`ADDRESS:PORT`) are dropped.
    bool drops_incoming(std::string_view endpoint) const;
    /// Whether messages sent to \p endpoint (`ADDRESS:PORT`) are dropped.
    bool drops_outgoing(std::string_view endpoint) const;
    /// Whether messages in at least one direction are dropped. TCP connections to \p endpoint must
    /// not be made then, as they need both directions.
    bool drops_either_direction(std::string_view endpoint) const;

private:
    const std::string m_path;
    mutable absl::Mutex m_mutex;
    std::set<std::string, std::less<>> m_in ABSL_GUARDED_BY(m_mutex);
    std::set<std::string, std::less<>> m_out ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::peer
