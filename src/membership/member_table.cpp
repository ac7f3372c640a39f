#include "membership/member_table.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::membership {

namespace {

/// Whether two records are equal except for heartbeat and revision.
bool same_content(const member_record& a, member_record b) {
    b.heartbeat = a.heartbeat;
    b.revision = a.revision;
    return a == b;
}

bool is_live(member_status status) {
    return status == member_status::live;
}

/// Removes a random element of \p from, which must not be empty, and returns it. Does not keep the
/// order of the others.
template <typename T> T take_random(std::vector<T>& from, random_source& random) {
    std::swap(from[random.below(from.size())], from.back());
    T taken = std::move(from.back());
    from.pop_back();
    return taken;
}

} // namespace

member_options options_for(duration gossip_interval) {
    constexpr int rounds_same_zone = 10;
    constexpr int rounds_other_zone = 20;
    member_options out;
    out.suspect_after_same_zone =
        std::max(out.suspect_after_same_zone, rounds_same_zone * gossip_interval);
    out.suspect_after_other_zone =
        std::max(out.suspect_after_other_zone, rounds_other_zone * gossip_interval);
    return out;
}

member_table::member_table(member_record self, member_options options)
    : m_self(std::move(self)), m_options(options) {}

void member_table::begin_gossip_round() {
    ++m_self.heartbeat;
    if (!same_content(m_self, m_published)) {
        ++m_self.revision;
        m_published = m_self;
    }
}

bool member_table::merge(const member_record& heard, time_point now) {
    if (heard.host == m_self.host) {
        return false;
    }
    const auto [entry, added] = m_others.try_emplace(heard.host);
    member& known = entry->second;
    if (!added && heard.incarnation < known.record.incarnation) {
        return false;
    }
    const bool new_incarnation = added || heard.incarnation > known.record.incarnation;
    const bool record_changed = new_incarnation || heard.revision > known.record.revision;
    const bool heartbeat_advanced = new_incarnation || heard.heartbeat > known.record.heartbeat;
    if (!record_changed && !heartbeat_advanced) {
        return false;
    }
    const std::uint64_t heartbeat =
        new_incarnation ? heard.heartbeat : std::max(heard.heartbeat, known.record.heartbeat);
    if (new_incarnation) {
        m_host_by_key.erase(member_key_of(known.record));
        m_host_by_key[member_key_of(heard)] = heard.host;
    }
    if (record_changed) {
        const bool was_leaving = !new_incarnation && known.record.leaving;
        known.record = heard;
        known.record.leaving = heard.leaving || was_leaving;
        known.changed_at = now;
    }
    known.record.heartbeat = heartbeat;
    if (heartbeat_advanced) {
        known.heard_at = now;
    }
    if (added) {
        known.status = member_status::gone;
    }
    return true;
}

void member_table::merge_heartbeat(const heartbeat_digest& heard, time_point now) {
    const auto host = m_host_by_key.find(heard.member_key);
    if (host == m_host_by_key.end()) {
        return;
    }
    member& known = m_others.find(host->second)->second;
    if (heard.heartbeat > known.record.heartbeat) {
        known.record.heartbeat = heard.heartbeat;
        known.heard_at = now;
    }
}

void member_table::replace_host_list(const std::set<std::string, std::less<>>& listed,
                                     const std::set<std::string, std::less<>>& leaving) {
    m_listed = listed;
    m_listed_leaving = leaving;
}

member_status member_table::compute_status(const member& m, time_point now) const {
    if (m.record.leaving || m_listed_leaving.contains(m.record.host)) {
        return member_status::leaving;
    }
    const bool same_zone = m.record.availability_zone == m_self.availability_zone;
    const duration limit =
        same_zone ? m_options.suspect_after_same_zone : m_options.suspect_after_other_zone;
    if (now - m.heard_at <= limit) {
        return member_status::live;
    }
    return is_listed(m.record.host) ? member_status::suspected : member_status::gone;
}

std::vector<member_change> member_table::update(time_point now) {
    std::vector<member_change> changes;
    for (auto it = m_others.begin(); it != m_others.end();) {
        member& m = it->second;
        const member_status before = m.status;
        m.status = compute_status(m, now);
        if (m.status != before) {
            changes.push_back({it->first, before, m.status});
        }
        const bool expired = !is_listed(it->first) && now - m.heard_at > m_options.remove_after;
        if (expired) {
            m_host_by_key.erase(member_key_of(m.record));
        }
        it = expired ? m_others.erase(it) : std::next(it);
    }
    return changes;
}

std::vector<const member_record*> member_table::live() const {
    std::vector<const member_record*> out;
    if (!m_self.leaving) {
        out.push_back(&m_self);
    }
    for (const auto& [host, m] : m_others) {
        if (is_live(m.status)) {
            out.push_back(&m.record);
        }
    }
    std::ranges::sort(out, {}, [](const member_record* r) { return std::string_view(r->host); });
    return out;
}

std::vector<const member_record*> member_table::live_in(std::string_view zone) const {
    std::vector<const member_record*> out = live();
    std::erase_if(out, [zone](const member_record* r) { return r->availability_zone != zone; });
    return out;
}

const member* member_table::find(std::string_view host) const {
    const auto found = m_others.find(host);
    return found == m_others.end() ? nullptr : &found->second;
}

bool member_table::is_delegate(int count) const {
    const std::uint64_t key = stable_hash(m_self.availability_zone);
    const std::uint64_t own = rendezvous_weight(key, m_self.host);
    int ahead = 0;
    for (const member_record* r : live_in(m_self.availability_zone)) {
        const bool competes = r->host != m_self.host && r->platform_reachable;
        if (competes && rendezvous_weight(key, r->host) > own) {
            ++ahead;
        }
    }
    return ahead < count;
}

const member_record* member_table::owner_in_zone(std::string_view zone,
                                                 std::string_view key) const {
    const std::uint64_t hash = stable_hash(key);
    const member_record* best = nullptr;
    for (const member_record* r : live_in(zone)) {
        if (best == nullptr ||
            rendezvous_weight(hash, r->host) > rendezvous_weight(hash, best->host)) {
            best = r;
        }
    }
    return best;
}

std::vector<std::string> member_table::gossip_peers(int in_zone, random_source& random) const {
    std::vector<std::string> same;
    std::vector<std::string> other;
    for (const auto& [host, m] : m_others) {
        if (m.status == member_status::gone) {
            continue;
        }
        const bool in_own_zone = m.record.availability_zone == m_self.availability_zone;
        (in_own_zone ? same : other).push_back(m.record.peer_endpoint());
    }
    std::vector<std::string> out;
    for (int i = 0; i < in_zone && !same.empty(); ++i) {
        out.push_back(take_random(same, random));
    }
    if (!other.empty()) {
        out.push_back(take_random(other, random));
    }
    return out;
}

std::vector<member_record> member_table::gossip_records(std::size_t count, time_point now,
                                                        random_source& random) const {
    std::vector<const member_record*> changed;
    std::vector<const member_record*> others;
    for (const auto& [host, m] : m_others) {
        if (m.status == member_status::gone) {
            continue;
        }
        (now - m.changed_at < m_options.change_priority_time ? changed : others)
            .push_back(&m.record);
    }
    std::vector<member_record> out{m_self};
    while (out.size() <= count / 2 && !changed.empty()) {
        out.push_back(*take_random(changed, random));
    }
    others.insert(others.end(), changed.begin(), changed.end());
    while (out.size() <= count && !others.empty()) {
        out.push_back(*take_random(others, random));
    }
    return out;
}

std::vector<heartbeat_digest> member_table::gossip_heartbeats(std::size_t in_zone,
                                                              std::size_t others,
                                                              random_source& random) const {
    std::vector<const member_record*> own_zone;
    std::vector<const member_record*> other_zones;
    for (const auto& [host, m] : m_others) {
        if (m.status == member_status::live) {
            const bool in_own_zone = m.record.availability_zone == m_self.availability_zone;
            (in_own_zone ? own_zone : other_zones).push_back(&m.record);
        }
    }
    std::vector<heartbeat_digest> out;
    const auto add = [&](std::vector<const member_record*>& from, std::size_t max_count) {
        for (std::size_t i = 0; i < max_count && !from.empty(); ++i) {
            const member_record* r = take_random(from, random);
            out.push_back({member_key_of(*r), static_cast<std::uint32_t>(r->heartbeat)});
        }
    };
    add(own_zone, in_zone);
    add(other_zones, others);
    return out;
}

std::vector<member_record> member_table::all_records() const {
    std::vector<member_record> out{m_self};
    for (const auto& [host, m] : m_others) {
        if (m.status != member_status::gone) {
            out.push_back(m.record);
        }
    }
    return out;
}

} // namespace eelgrassdoor::membership
