/// \file
/// Defines the seeded random generator that is injected where a decision needs chance.
#pragma once

#include <cstdint>
#include <string>

namespace eelgrassdoor {

/// A small deterministic generator. Not for secrets: see secure_random_hex().
class random_source {
public:
    explicit random_source(std::uint64_t seed) : m_state(seed) {}
    /// The next 64 random bits.
    std::uint64_t next();
    /// A whole number below \p bound; \p bound must be positive.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
    /// A number in [0, 1).
    double uniform();
    /// An exponentially distributed number with mean \p mean.
    double exponential(double mean);

private:
    std::uint64_t m_state;
};

/// \p bytes bytes from the operating system's generator, in hexadecimal.
std::string secure_random_hex(int bytes);

/// A 64-bit number from the operating system's generator.
std::uint64_t secure_random_uint64();

} // namespace eelgrassdoor
