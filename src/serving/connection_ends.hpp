/// \file
/// Defines what connections that end together tell about the reason. Pure: no I/O.
#pragma once

#include "base/clock.hpp"

#include <deque>
#include <string>
#include <string_view>

namespace eelgrassdoor::serving {

/// The latest connections to targets that ended in the middle of responses, or together with the
/// witnesses of their responses (see response_end). A target ends the connection of a response that
/// is complete, and no other one, at that moment; something between this host and the targets, such
/// as a proxy, ends several. Not thread-safe.
class connection_ends {
public:
    /// Records that a connection to \p target ended before its response.
    void record(std::string_view target, time_point now);
    /// Whether connections that ended since \p since tell that one to \p target ended for the same
    /// reason: one to this target, or those to two others.
    [[nodiscard]] bool explain_end(std::string_view target, time_point since) const;

private:
    struct entry {
        std::string target;
        time_point ended_at;
    };
    std::deque<entry> m_entries;
};

} // namespace eelgrassdoor::serving
