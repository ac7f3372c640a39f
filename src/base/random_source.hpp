/// \file
/// Defines the seeded pseudo-random generator and access to the generator of the operating system.
#pragma once

#include <cstdint>
#include <string>

namespace eelgrassdoor {

/// A deterministic pseudo-random generator (SplitMix64). Not for secrets, for which
/// secure_random_hex() is meant. Not thread-safe.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : m_state(seed) {}
    /// Returns the next 64 random bits.
    std::uint64_t next();
    /// Returns an integer in [0, \p bound); \p bound must be positive.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
    /// Returns a uniformly distributed number in [0, 1).
    double uniform();
    /// Returns an exponentially distributed number with mean \p mean.
    double exponential(double mean);

private:
    std::uint64_t m_state;
};

/// Returns \p bytes cryptographically secure random bytes in hexadecimal.
std::string secure_random_hex(int bytes);

/// Returns a cryptographically secure random 64-bit number.
std::uint64_t secure_random_uint64();

} // namespace eelgrassdoor
