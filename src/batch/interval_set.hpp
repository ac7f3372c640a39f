/// \file
/// Defines a set of item numbers that takes memory by ranges, not by items.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace eelgrassdoor::batch {

/// A set of numbers, kept as disjoint ranges.
class interval_set {
public:
    /// Adds one number; returns whether it was new.
    bool add(std::uint64_t number);
    [[nodiscard]] bool contains(std::uint64_t number) const;
    /// How many numbers the set holds.
    [[nodiscard]] std::uint64_t size() const { return m_size; }
    /// How many ranges the set is kept in.
    [[nodiscard]] std::size_t ranges() const { return m_ranges.size(); }

private:
    /// First number of each range and the one behind its last.
    std::map<std::uint64_t, std::uint64_t> m_ranges;
    std::uint64_t m_size = 0;
};

} // namespace eelgrassdoor::batch
