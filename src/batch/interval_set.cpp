#include "batch/interval_set.hpp"

#include <iterator>

namespace eelgrassdoor::batch {

bool interval_set::contains(std::uint64_t number) const {
    const auto after = m_ranges.upper_bound(number);
    return after != m_ranges.begin() && std::prev(after)->second > number;
}

bool interval_set::add(std::uint64_t number) {
    if (contains(number)) {
        return false;
    }
    ++m_size;
    const auto after = m_ranges.upper_bound(number);
    std::uint64_t end = number + 1;
    if (after != m_ranges.end() && after->first == end) {
        end = after->second;
        m_ranges.erase(after);
    }
    const auto next = m_ranges.upper_bound(number);
    if (next != m_ranges.begin() && std::prev(next)->second == number) {
        std::prev(next)->second = end;
    } else {
        m_ranges.emplace(number, end);
    }
    return true;
}

} // namespace eelgrassdoor::batch
