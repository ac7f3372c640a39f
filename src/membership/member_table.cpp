#include "membership/member_table.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::membership {

namespace {

/// Whether two records say the same but for heartbeat and revision.
bool same_content(const member_record& a, member_record b) {
    b.heartbeat = a.heartbeat;
    b.revision = a.revision;
    return a == b;
}

bool may_be_used(member_status status) {
    return status == member_status::live;
}

/// Takes one element of \p from out by chance.
template <typename T> T draw(std::vector<T>& from, random_source& random) {
    std::swap(from[random.below(from.size())], from.back());
    T drawn = std::move(from.back());
    from.pop_back();
    return drawn;
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

void member_table::next_round() {
    ++m_self.heartbeat;
    if (!same_content(m_self, m_said)) {
        ++m_self.revision;
        m_said = m_self;
    }
}

bool member_table::merge(const member_record& heard, time_point now) {
    if (heard.host == m_self.host) {
        return false;
    }
    const auto [place, added] = m_others.try_emplace(heard.host);
    member& known = place->second;
    if (!added && heard.incarnation < known.record.incarnation) {
        return false;
    }
    const bool other_run = added || heard.incarnation > known.record.incarnation;
    const bool news = other_run || heard.revision > known.record.revision;
    const bool alive = other_run || heard.heartbeat > known.record.heartbeat;
    if (!news && !alive) {
        return false;
    }
    const std::uint64_t heartbeat =
        other_run ? heard.heartbeat : std::max(heard.heartbeat, known.record.heartbeat);
    if (other_run) {
        m_by_key.erase(digest_key(known.record));
        m_by_key[digest_key(heard)] = heard.host;
    }
    if (news) {
        const bool was_leaving = !other_run && known.record.leaving;
        known.record = heard;
        known.record.leaving = heard.leaving || was_leaving;
        known.changed_at = now;
    }
    known.record.heartbeat = heartbeat;
    if (alive) {
        known.heard_at = now;
    }
    if (added) {
        known.status = member_status::gone;
    }
    return true;
}

void member_table::merge_heartbeat(const heartbeat_digest& heard, time_point now) {
    const auto host = m_by_key.find(heard.who);
    if (host == m_by_key.end()) {
        return;
    }
    member& known = m_others.find(host->second)->second;
    if (heard.heartbeat > known.record.heartbeat) {
        known.record.heartbeat = heard.heartbeat;
        known.heard_at = now;
    }
}

void member_table::merge_host_list(const std::set<std::string, std::less<>>& listed,
                                   const std::set<std::string, std::less<>>& leaving) {
    m_listed = listed;
    m_listed_leaving = leaving;
}

member_status member_table::judge(const member& m, time_point now) const {
    if (m.record.leaving || m_listed_leaving.contains(m.record.host)) {
        return member_status::leaving;
    }
    const bool same_zone = m.record.availability_zone == m_self.availability_zone;
    const duration limit =
        same_zone ? m_options.suspect_after_same_zone : m_options.suspect_after_other_zone;
    if (now - m.heard_at <= limit) {
        return member_status::live;
    }
    return listed(m.record.host) ? member_status::suspected : member_status::gone;
}

std::vector<member_change> member_table::update(time_point now) {
    std::vector<member_change> changes;
    for (auto it = m_others.begin(); it != m_others.end();) {
        member& m = it->second;
        const member_status before = m.status;
        m.status = judge(m, now);
        if (m.status != before) {
            changes.push_back({it->first, before, m.status});
        }
        const bool forget = !listed(it->first) && now - m.heard_at > m_options.forget_after;
        if (forget) {
            m_by_key.erase(digest_key(m.record));
        }
        it = forget ? m_others.erase(it) : std::next(it);
    }
    return changes;
}

std::vector<const member_record*> member_table::live() const {
    std::vector<const member_record*> out;
    if (!m_self.leaving) {
        out.push_back(&m_self);
    }
    for (const auto& [host, m] : m_others) {
        if (may_be_used(m.status)) {
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
        const bool here = m.record.availability_zone == m_self.availability_zone;
        (here ? same : other).push_back(m.record.peer_endpoint());
    }
    std::vector<std::string> out;
    for (int i = 0; i < in_zone && !same.empty(); ++i) {
        out.push_back(draw(same, random));
    }
    if (!other.empty()) {
        out.push_back(draw(other, random));
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
        (now - m.changed_at < m_options.news_time ? changed : others).push_back(&m.record);
    }
    std::vector<member_record> out{m_self};
    while (out.size() <= count / 2 && !changed.empty()) {
        out.push_back(*draw(changed, random));
    }
    others.insert(others.end(), changed.begin(), changed.end());
    while (out.size() <= count && !others.empty()) {
        out.push_back(*draw(others, random));
    }
    return out;
}

std::vector<heartbeat_digest> member_table::gossip_heartbeats(std::size_t in_zone,
                                                              std::size_t others,
                                                              random_source& random) const {
    std::vector<const member_record*> near;
    std::vector<const member_record*> far;
    for (const auto& [host, m] : m_others) {
        if (m.status == member_status::live) {
            const bool here = m.record.availability_zone == m_self.availability_zone;
            (here ? near : far).push_back(&m.record);
        }
    }
    std::vector<heartbeat_digest> out;
    const auto add = [&](std::vector<const member_record*>& from, std::size_t most) {
        for (std::size_t i = 0; i < most && !from.empty(); ++i) {
            const member_record* r = draw(from, random);
            out.push_back({digest_key(*r), static_cast<std::uint32_t>(r->heartbeat)});
        }
    };
    add(near, in_zone);
    add(far, others);
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
