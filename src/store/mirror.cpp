#include "store/mirror.hpp"

#include <algorithm>
#include <set>

namespace eelgrassdoor::store {

mirror::mirror(std::vector<std::string> prefixes) : m_prefixes(std::move(prefixes)) {
    for (const std::string& prefix : m_prefixes) {
        m_replicas[prefix];
    }
}

mirror::replica* mirror::find_replica(std::string_view prefix) {
    const auto found = m_replicas.find(prefix);
    return found == m_replicas.end() ? nullptr : &found->second;
}

const mirror::replica* mirror::find_replica(std::string_view prefix) const {
    const auto found = m_replicas.find(prefix);
    return found == m_replicas.end() ? nullptr : &found->second;
}

bool mirror::apply_event(replica& state, const kv_event& event) {
    state.content_revision = std::max(state.content_revision, event.item.revision);
    const auto found = state.items.find(event.item.key);
    const std::uint64_t known_revision = found == state.items.end() ? 0 : found->second.revision;
    if (event.item.revision <= known_revision) {
        return false;
    }
    if (event.deleted) {
        state.items.erase(event.item.key);
        return known_revision != 0;
    }
    state.items[event.item.key] = event.item;
    return true;
}

void mirror::apply_snapshot(const mirror_snapshot& snapshot) {
    replica* state = find_replica(snapshot.prefix);
    if (state == nullptr || snapshot.revision < state->revision) {
        return;
    }
    bool changed = state->revision == 0;
    std::set<std::string_view> snapshot_keys;
    for (const kv_item& item : snapshot.items) {
        snapshot_keys.insert(item.key);
        changed = apply_event(*state, {item, false}) || changed;
    }
    changed = std::erase_if(state->items,
                            [&](const auto& entry) {
                                return !snapshot_keys.contains(entry.first) &&
                                       entry.second.revision <= snapshot.revision;
                            }) > 0 ||
              changed;
    state->revision = snapshot.revision;
    if (changed && m_on_change) {
        m_on_change(snapshot.prefix);
    }
}

void mirror::apply_changes(std::string_view prefix, const kv_changes& changes) {
    replica* state = find_replica(prefix);
    if (state == nullptr) {
        return;
    }
    bool changed = false;
    for (const kv_event& event : changes.events) {
        // A delayed event at or before the known revision could restore a deleted key.
        if (event.item.revision > state->revision) {
            changed = apply_event(*state, event) || changed;
        }
    }
    state->revision = std::max(state->revision, changes.store_revision);
    if (changed && m_on_change) {
        m_on_change(prefix);
    }
}

std::uint64_t mirror::revision(std::string_view prefix) const {
    const replica* state = find_replica(prefix);
    return state == nullptr ? 0 : state->revision;
}

std::uint64_t mirror::content_revision(std::string_view prefix) const {
    const replica* state = find_replica(prefix);
    return state == nullptr ? 0 : state->content_revision;
}

const std::map<std::string, kv_item, std::less<>>& mirror::items(std::string_view prefix) const {
    static const std::map<std::string, kv_item, std::less<>> none;
    const replica* state = find_replica(prefix);
    return state == nullptr ? none : state->items;
}

const kv_item* mirror::find(std::string_view key) const {
    for (const std::string& prefix : m_prefixes) {
        if (key.substr(0, prefix.size()) == prefix) {
            const auto& all = items(prefix);
            const auto found = all.find(key);
            return found == all.end() ? nullptr : &found->second;
        }
    }
    return nullptr;
}

mirror_snapshot mirror::snapshot(std::string_view prefix) const {
    mirror_snapshot out{std::string(prefix), revision(prefix), {}};
    for (const auto& [key, item] : items(prefix)) {
        out.items.push_back(item);
    }
    return out;
}

} // namespace eelgrassdoor::store
