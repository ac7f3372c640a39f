#include "soak/soak_conditions.hpp"

namespace eelgrassdoor::test {

namespace {

/// Engines that may be silent for longer than callers wait.
constexpr engine_behaviour framed_engines{.pause_ms = 2600, .pause_interval = 40};
constexpr engine_behaviour unframed_engines{
    .pause_ms = 2600, .pause_interval = 40, .unframed_interval = 4};

const std::vector<cut_mode> all_cuts{cut_mode::hang, cut_mode::reset, cut_mode::refuse,
                                     cut_mode::silence};
const std::vector<cut_mode> all_ends{cut_mode::end_all, cut_mode::end_half};
const std::map<std::string, soak_conditions, std::less<>> conditions_by_name{
    {"", {}},
    {"hang", {{cut_mode::hang}}},
    {"reset", {{cut_mode::reset}}},
    {"refuse", {{cut_mode::refuse}}},
    {"silence", {{cut_mode::silence}}},
    {"cuts", {all_cuts}},
    {"ends", {{cut_mode::end_all}, unframed_engines}},
    {"ends-half", {{cut_mode::end_half}, unframed_engines}},
    {"restarts", {{}, unframed_engines, true}},
    {"restarts-framed", {{}, framed_engines, true}},
    {"restarts-cuts", {all_cuts, unframed_engines, true}},
    {"restarts-ends", {all_ends, unframed_engines, true}},
    {"outdated", {.cuts = {}, .outdated = true}},
};

} // namespace

std::optional<soak_conditions> find_conditions(const std::string& name) {
    const auto found = conditions_by_name.find(name);
    return found == conditions_by_name.end() ? std::nullopt : std::optional(found->second);
}

} // namespace eelgrassdoor::test
