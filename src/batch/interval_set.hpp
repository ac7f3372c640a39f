/// \file
/// Defines a set of item numbers whose memory use grows with the number of ranges, not of items.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace eelgrassdoor::batch {

/// A set of numbers, stored as disjoint ranges. Not thread-safe.
class interval_set {
public:
    /// Inserts \p number, which must be below the maximum of its type. Returns whether it was new.
    bool add(std::uint64_t number);
    [[nodiscard]] bool contains(std::uint64_t number) const;
    /// The number of elements.
    [[nodiscard]] std::uint64_t size() const { return m_size; }
    /// The number of disjoint ranges.
    [[nodiscard]] std::size_t range_count() const { return m_ranges.size(); }

private:
    /// Half-open ranges: the first number of each, mapped to the number after its last.
    std::map<std::uint64_t, std::uint64_t> m_ranges;
    std::uint64_t m_size = 0;
};

} // namespace eelgrassdoor::batch
