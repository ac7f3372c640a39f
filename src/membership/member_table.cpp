#include "membership/member_table.hpp"

#include "base/digest.hpp"
#include "base/text.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace eelgrassdoor::membership {

namespace {

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

member_table::member_table(member_record self, member_options options)
    : m_self(std::move(self)), m_options(options) {}

bool member_table::merge(const member_record& heard, time_point now) {
    if (heard.host == m_self.host) {
        return false;
    }
    const auto [place, added] = m_others.try_emplace(heard.host);
    member& known = place->second;
    const bool newer = std::tie(heard.incarnation, heard.heartbeat) >
                       std::tie(known.record.incarnation, known.record.heartbeat);
    if (!added && !newer) {
        return false;
    }
    const bool same_incarnation = !added && heard.incarnation == known.record.incarnation;
    const bool was_leaving = same_incarnation && known.record.leaving;
    known.record = heard;
    known.record.leaving = heard.leaving || was_leaving;
    known.heard_at = now;
    if (added) {
        known.status = member_status::gone;
    }
    return true;
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

std::vector<member_record> member_table::gossip_records(std::size_t count,
                                                        random_source& random) const {
    std::vector<const member_record*> known;
    for (const auto& [host, m] : m_others) {
        if (m.status != member_status::gone) {
            known.push_back(&m.record);
        }
    }
    std::vector<member_record> out{m_self};
    for (std::size_t i = 0; i < count && !known.empty(); ++i) {
        out.push_back(*draw(known, random));
    }
    return out;
}

} // namespace eelgrassdoor::membership
