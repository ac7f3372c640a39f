#include "host/target_discovery.hpp"

namespace eelgrassdoor::host {

std::vector<routing::fleet_target>
target_listing::update(const entries& items, const fleet::store_contact& contact, time_point now) {
    std::vector<routing::fleet_target> used = m_roster.update(read(items), contact, now);
    log_changes(used);
    return used;
}

target_listing::read_entry target_listing::read_one(const store::kv_item& item) {
    result<routing::fleet_target> target = m_decode(item);
    if (!target) {
        m_log.write(
            observe::event::entry_rejected, item.key,
            {{"reason", target.error().message}, {"revision", std::to_string(item.revision)}});
        return {item.revision, std::nullopt};
    }
    return {item.revision, std::move(target.value())};
}

std::vector<routing::fleet_target> target_listing::read(const entries& items) {
    std::erase_if(m_read, [&](const auto& known) { return !items.contains(known.first); });
    std::vector<routing::fleet_target> listed;
    for (const auto& [key, item] : items) {
        const auto known = m_read.find(key);
        if (known == m_read.end() || known->second.revision != item.revision) {
            m_read[key] = read_one(item);
        }
        if (const read_entry& entry = m_read[key]; entry.target) {
            listed.push_back(*entry.target);
        }
    }
    return listed;
}

void target_listing::log_changes(const std::vector<routing::fleet_target>& used) {
    std::set<std::string> known;
    for (const routing::fleet_target& target : used) {
        if (target.leaving) {
            continue;
        }
        known.insert(target.id);
        if (!m_known.contains(target.id)) {
            m_log.write(observe::event::target_listed, target.id,
                        {{"endpoint", target.endpoint}, {"service", target.service}});
        }
    }
    for (const std::string& id : m_known) {
        if (!known.contains(id)) {
            m_log.write(observe::event::target_withdrawn, id);
        }
    }
    m_known = std::move(known);
}

} // namespace eelgrassdoor::host
