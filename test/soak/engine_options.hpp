/// \file
/// Defines the arguments of the program soak_engine.
#pragma once

#include <csignal>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace eelgrassdoor::test {

/// What all engines of a run have in common.
struct engine_behaviour {
    /// Silence of an engine that pauses.
    std::uint64_t pause_ms = 1200;
    /// One response in this many pauses, also without trouble; 0 for none.
    std::uint64_t pause_interval = 0;
    /// One response in this many has neither a length nor chunks; 0 for none.
    std::uint64_t unframed_interval = 0;
};

/// One start of an engine.
struct engine_options {
    std::string id;
    std::string version;
    /// `IP:PORT` on which it listens.
    std::string endpoint;
    /// File of the request_log.
    std::string request_log;
    /// Unix time in milliseconds, which its report names.
    std::uint64_t started_at = 0;
    /// Seed of its random source.
    std::uint64_t seed = 0;
    /// Whether it begins in trouble; see begin_trouble_signal.
    bool trouble = false;
    engine_behaviour behaviour = {};
};

/// Signals after which some responses of an engine are delayed, pause or break off, or none.
constexpr int begin_trouble_signal = SIGUSR1;
constexpr int end_trouble_signal = SIGUSR2;
/// Signal after which an engine announces in its responses that it is about to exit.
constexpr int leave_signal = SIGHUP;

/// Returns the arguments that parse_engine_options() reads.
std::vector<std::string> make_arguments(const engine_options& options);
/// Reads arguments of the form NAME=VALUE. Returns nothing when one is malformed or missing.
std::optional<engine_options> parse_engine_options(std::span<char* const> arguments);

} // namespace eelgrassdoor::test
