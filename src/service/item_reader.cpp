#include "service/item_reader.hpp"

namespace eelgrassdoor::service {

std::string item_reader::read(std::uint64_t index) {
    const auto cached = m_cached_lines.find(index);
    if (cached != m_cached_lines.end()) {
        return cached->second;
    }
    std::string line;
    while (m_next_index <= index && std::getline(m_file, line)) {
        ++m_next_index;
    }
    if (m_next_index != index + 1) {
        return {};
    }
    m_cached_lines[index] = line;
    return line;
}

} // namespace eelgrassdoor::service
