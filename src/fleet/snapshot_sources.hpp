/// \file
/// Defines the choice of the daemon from which a newer snapshot is fetched. Does no I/O.
#pragma once

#include "base/clock.hpp"
#include "base/random_source.hpp"
#include "fleet/newer_revision.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassdoor::fleet {

/// The daemons that have a newer revision of one prefix than this one. The load pattern that it is
/// meant for is a large change that one daemon of a zone has first: all others want a copy at the
/// same moment, and its link cannot carry them all in time. Each source serves a few at a time and
/// turns the others away; those ask any daemon that has received its copy meanwhile, so that the
/// number of sources grows exponentially. Not thread-safe.
class snapshot_sources {
public:
    /// Records that a daemon has a newer revision and may be asked from \p not_before on. A source
    /// that is known already keeps its time.
    void offer(const newer_revision& newer, time_point not_before);

    /// When the next source may be asked; nothing if none has a revision above \p known. Forgets
    /// the sources that have none.
    std::optional<time_point> next_attempt(std::uint64_t known);

    /// Chooses a source that may be asked at \p now. Daemons of other zones are chosen only while
    /// no daemon of the own zone is known as a source. Of the others those with the highest
    /// revision are preferred, and among these one is chosen at random. Requires that
    /// next_attempt() is not after \p now.
    [[nodiscard]] newer_revision choose(time_point now, random_source& random) const;

    /// Asks the source at \p endpoint again from \p until on, because it is busy.
    void defer(std::string_view endpoint, time_point until);
    /// Forgets a source that failed; the next offer adds it again.
    void remove(std::string_view endpoint);

private:
    struct source {
        newer_revision newer;
        time_point not_before{};
    };
    /// Whether a daemon of the own zone is known as a source.
    [[nodiscard]] bool has_same_zone() const;
    /// Whether a source may be asked at all, regardless of the time.
    [[nodiscard]] bool is_eligible(const source& each) const {
        return each.newer.same_zone || !has_same_zone();
    }

    std::map<std::string, source, std::less<>> m_sources;
};

} // namespace eelgrassdoor::fleet
