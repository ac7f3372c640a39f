/// \file
/// Defines the table of the software versions that began streams. Performs no I/O.
#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace eelgrassdoor::fleet {

/// Returns the key of the stream that a caller's attempt began; the same in every daemon.
std::uint64_t stream_key(std::string_view customer, std::string_view attempt_id);

/// Maps streams to the software version of the target that sent their first event. Not thread-safe.
class stream_versions {
public:
    /// How long an entry is kept: far longer than any caller's deadline, after which nobody takes
    /// the stream up again.
    static constexpr duration entry_lifetime = seconds(60);
    /// The oldest entries above this number are dropped. At the design size a daemon keeps 1,800:
    /// those of 10 streams per second that it began and copies of 20 per second of other daemons.
    /// The rest is room for uneven traffic; a full table takes a few megabytes.
    static constexpr std::size_t max_entries = 32'768;

    explicit stream_versions(clock_fn clock) : m_clock(std::move(clock)) {}

    /// Records that \p version began the stream \p key. Ignored while an entry of this stream is
    /// kept: only the first event decides.
    void record(std::uint64_t key, std::string_view version);
    /// The version that began the stream \p key; nothing when it is unknown or its entry has
    /// expired.
    [[nodiscard]] std::optional<std::string> find(std::uint64_t key) const;
    /// Number of entries, including expired ones that were not dropped yet.
    [[nodiscard]] std::size_t size() const { return m_versions.size(); }

private:
    struct recorded_stream {
        std::uint64_t key = 0;
        time_point expires_at{};
    };
    struct recorded_version {
        std::string version;
        time_point expires_at{};
    };

    void drop_oldest();

    clock_fn m_clock;
    /// By stream key.
    std::unordered_map<std::uint64_t, recorded_version> m_versions;
    /// The entries of m_versions, the oldest first.
    std::deque<recorded_stream> m_by_age;
};

} // namespace eelgrassdoor::fleet
