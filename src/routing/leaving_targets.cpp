#include "routing/leaving_targets.hpp"

namespace eelgrassdoor::routing {

bool leaving_targets::add(const target_instance& instance) {
    const instance_key key(instance.target, instance.started_at);
    if (!m_instances.insert(key).second) {
        return false;
    }
    m_order.push_back(key);
    if (m_order.size() > max_instances) {
        m_instances.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

bool leaving_targets::contains(const target_instance& instance) const {
    return m_instances.contains({instance.target, instance.started_at});
}

} // namespace eelgrassdoor::routing
