/// \file
/// Defines the list of endpoints that a test has cut off from this process.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <set>
#include <string>
#include <string_view>

namespace eelgrassdoor::peer {

/// Reads lines `in ADDRESS:PORT` and `out ADDRESS:PORT` from a file. Without a file nothing is
/// dropped. Scenarios cut networks by it, so that nothing of the machine's network is touched.
/// Thread-safe.
class drop_list {
public:
    explicit drop_list(std::string path) : m_path(std::move(path)) {}

    /// Reads the file again.
    void reload();
    /// Whether messages from \p endpoint are dropped.
    bool drops_from(std::string_view endpoint) const;
    /// Whether messages to \p endpoint are dropped.
    bool drops_to(std::string_view endpoint) const;
    /// Whether a connection with \p endpoint is impossible.
    bool blocks(std::string_view endpoint) const;

private:
    const std::string m_path;
    mutable absl::Mutex m_mutex;
    std::set<std::string, std::less<>> m_in ABSL_GUARDED_BY(m_mutex);
    std::set<std::string, std::less<>> m_out ABSL_GUARDED_BY(m_mutex);
};

} // namespace eelgrassdoor::peer
