#include "service/item_reader.hpp"

namespace eelgrassdoor::service {

std::string item_reader::read(std::uint64_t index) {
    const auto kept = m_kept.find(index);
    if (kept != m_kept.end()) {
        return kept->second;
    }
    std::string line;
    while (m_next <= index && std::getline(m_file, line)) {
        ++m_next;
    }
    if (m_next != index + 1) {
        return {};
    }
    m_kept[index] = line;
    return line;
}

} // namespace eelgrassdoor::service
