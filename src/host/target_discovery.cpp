#include "host/target_discovery.hpp"

namespace eelgrassdoor::host {

std::vector<routing::fleet_target>
target_discovery::update(const entries& items, const fleet::store_connectivity& contact,
                         time_point now) {
    std::vector<routing::fleet_target> used =
        m_retention.update(decode_entries(items), contact, now);
    log_changes(used);
    return used;
}

target_discovery::decoded_entry target_discovery::decode_entry(const store::kv_item& item) {
    result<routing::fleet_target> target = m_decode(item);
    if (!target) {
        m_log.write(
            observe::event::entry_rejected, item.key,
            {{"reason", target.error().message}, {"revision", std::to_string(item.revision)}});
        return {item.revision, std::nullopt};
    }
    if (on_entry) {
        on_entry(target.value());
    }
    return {item.revision, std::move(target.value())};
}

std::vector<routing::fleet_target> target_discovery::decode_entries(const entries& items) {
    std::erase_if(m_decoded, [&](const auto& known) { return !items.contains(known.first); });
    std::vector<routing::fleet_target> listed;
    for (const auto& [key, item] : items) {
        const auto known = m_decoded.find(key);
        if (known == m_decoded.end() || known->second.revision != item.revision) {
            m_decoded[key] = decode_entry(item);
        }
        if (const decoded_entry& entry = m_decoded[key]; entry.target) {
            listed.push_back(*entry.target);
        }
    }
    return listed;
}

void target_discovery::log_changes(const std::vector<routing::fleet_target>& used) {
    std::set<std::string> known;
    for (const routing::fleet_target& target : used) {
        if (target.leaving) {
            continue;
        }
        known.insert(target.id);
        if (!m_listed.contains(target.id)) {
            m_log.write(observe::event::target_listed, target.id,
                        {{"endpoint", target.endpoint}, {"service", target.service}});
        }
    }
    for (const std::string& id : m_listed) {
        if (!known.contains(id)) {
            m_log.write(observe::event::target_withdrawn, id);
        }
    }
    m_listed = std::move(known);
}

} // namespace eelgrassdoor::host
