#include "peer/drop_list.hpp"

#include "base/text.hpp"

#include <fstream>

namespace eelgrassdoor::peer {

void drop_list::reload() {
    if (m_path.empty()) {
        return;
    }
    std::ifstream file(m_path);
    std::set<std::string, std::less<>> in;
    std::set<std::string, std::less<>> out;
    std::string direction;
    std::string endpoint;
    while (file >> direction >> endpoint) {
        (direction == "in" ? in : out).insert(endpoint);
    }
    const absl::MutexLock lock(&m_mutex);
    m_in = std::move(in);
    m_out = std::move(out);
}

bool drop_list::drops_incoming(std::string_view endpoint) const {
    const absl::MutexLock lock(&m_mutex);
    return m_in.contains(endpoint);
}

bool drop_list::drops_outgoing(std::string_view endpoint) const {
    const absl::MutexLock lock(&m_mutex);
    return m_out.contains(endpoint);
}

bool drop_list::drops_either_direction(std::string_view endpoint) const {
    const absl::MutexLock lock(&m_mutex);
    return m_in.contains(endpoint) || m_out.contains(endpoint);
}

} // namespace eelgrassdoor::peer
