/// \file
/// Defines which daemons keep copies of a stream's version. Performs no I/O.
#pragma once

#include "net/asio.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassdoor::fleet {

/// Another daemon that can keep the versions of streams.
struct stream_holder {
    std::string host;
    std::string availability_zone;
    net::udp::endpoint endpoint;
    /// Whether the daemon was heard recently.
    bool is_heard = false;
};

/// Assigns each stream to the daemons that keep a copy of its version, by rendezvous hashing: one
/// in the availability zone of the daemon that began the stream and one in another zone, so that a
/// copy outlives any one daemon and any one zone. All daemons rank the same way, and those that are
/// not heard come last. A lookup asks the first two of each zone, since the daemon that began the
/// stream is passed over in its own ranking, and since daemons may for a moment disagree on which
/// others are heard. A host that runs jobs, where there is one, gets a further copy, as all daemons
/// that serve callers may be killed at once. Not thread-safe.
class stream_holders {
public:
    /// How many daemons of each zone a lookup asks.
    static constexpr std::size_t asked_in_zone = 2;
    /// How many of the daemons that run jobs a lookup asks.
    static constexpr std::size_t asked_job_hosts = 2;

    /// Replaces the set of daemons that serve callers; \p others excludes the local one, which is
    /// in \p own_zone.
    void set_daemons(std::vector<stream_holder> others, std::string_view own_zone);
    /// Replaces the set of daemons that run jobs and serve no callers.
    void set_job_hosts(std::vector<stream_holder> job_hosts) { m_job_hosts = std::move(job_hosts); }

    /// The daemons that get a copy when the local one has begun the stream \p key: the first of the
    /// own zone and the first of all others, or the next in rank where these do not exist or are
    /// not heard, fewer than two only when there are fewer daemons; and the first that runs jobs.
    [[nodiscard]] std::vector<stream_holder> copies_of(std::uint64_t key) const;
    /// The daemons to ask for the stream \p key.
    [[nodiscard]] std::vector<stream_holder> asked_for(std::uint64_t key) const;

private:
    std::string m_own_zone;
    std::map<std::string, std::vector<stream_holder>, std::less<>> m_by_zone;
    std::vector<stream_holder> m_job_hosts;
};

} // namespace eelgrassdoor::fleet
