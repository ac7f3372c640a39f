/// \file
/// Defines the record of the software versions that have been in service. Performs no I/O.
#pragma once

#include "base/clock.hpp"
#include "routing/fleet_target.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace eelgrassdoor::routing {

using version_set = std::set<std::string, std::less<>>;
/// Software versions by service.
using versions_by_service = std::map<std::string, version_set, std::less<>>;

/// The versions of \p targets, those that are leaving included.
versions_by_service versions_of(std::span<const fleet_target> targets);

/// What \p versions holds beyond \p known.
versions_by_service difference(const versions_by_service& versions,
                               const versions_by_service& known);
/// Whether \p versions holds \p version of \p service.
bool contains(const versions_by_service& versions, std::string_view service,
              std::string_view version);

/// Remembers which versions of each service had targets within a time before now. Not thread-safe.
class version_history {
public:
    /// \p memory is how long a version is remembered after its last target has gone.
    explicit version_history(duration memory) : m_memory(memory) {}

    /// Replaces the versions that have targets now.
    void set_listed(const versions_by_service& listed, time_point now);
    /// Adds versions that may have had targets until \p now.
    void add_earlier(const versions_by_service& earlier, time_point now);

    /// The versions of each service that have targets now or had some within the memory.
    [[nodiscard]] versions_by_service recent(time_point now) const;
    /// Those of one service.
    [[nodiscard]] version_set recent(std::string_view service, time_point now) const;
    [[nodiscard]] duration memory() const { return m_memory; }

private:
    /// When a version lost its last target; nothing while it has one.
    using gone_at = std::optional<time_point>;

    [[nodiscard]] bool is_recent(const gone_at& gone, time_point now) const {
        return !gone || now - *gone < m_memory;
    }

    duration m_memory;
    std::map<std::string, std::map<std::string, gone_at, std::less<>>, std::less<>> m_versions;
};

} // namespace eelgrassdoor::routing
