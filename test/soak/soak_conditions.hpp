/// \file
/// Defines what a run of fleet_soak plays.
#pragma once

#include "soak/engine_cut.hpp"
#include "soak/engine_options.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// What a run plays besides what all runs do.
struct soak_conditions {
    /// Cuts in turn.
    std::vector<cut_mode> cuts;
    /// How engines behave; nothing for engines and callers of the plain run.
    std::optional<engine_behaviour> behaviour = std::nullopt;
    /// Whether engines end and restart.
    bool restarts = false;
    /// Whether hosts are out of step while first new versions join; see outdated_rounds.
    bool outdated = false;
};

/// Returns the conditions with this name, which the usage of fleet_soak lists; nothing for an
/// unknown one.
std::optional<soak_conditions> find_conditions(const std::string& name);

} // namespace eelgrassdoor::test
