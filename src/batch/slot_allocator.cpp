#include "batch/slot_allocator.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassdoor::batch {

void slot_allocator::configure(std::uint32_t slots, double reserve_percent) {
    m_slots = slots;
    m_reserve = static_cast<std::uint32_t>(std::ceil(slots * reserve_percent / 100));
}

void slot_allocator::expire(time_point now) {
    std::erase_if(m_online, [now](const auto& e) { return e.second.expires <= now; });
    std::erase_if(m_grants, [now](const auto& e) { return e.second.expires <= now; });
}

std::uint32_t slot_allocator::free_slots(time_point now) const {
    std::uint32_t used = 0;
    for (const auto& [host, count] : m_online) {
        used += count.expires > now ? count.in_flight : 0;
    }
    return m_slots > used ? m_slots - used : 0;
}

std::uint32_t slot_allocator::window(time_point now) const {
    const std::uint32_t free = free_slots(now);
    return free > m_reserve ? free - m_reserve : 0;
}

std::uint32_t slot_allocator::granted() const {
    std::uint32_t sum = 0;
    for (const auto& [owner, grant] : m_grants) {
        sum += grant.granted;
    }
    return sum;
}

void slot_allocator::shrink(std::uint32_t allowed) {
    for (std::uint32_t sum = granted(); sum > allowed; --sum) {
        const auto most =
            std::ranges::max_element(m_grants, {}, [](const auto& e) { return e.second.granted; });
        --most->second.granted;
    }
}

void slot_allocator::grow(std::uint32_t allowed) {
    for (std::uint32_t sum = granted(); sum < allowed; ++sum) {
        owner_grant* least = nullptr;
        for (auto& [owner, grant] : m_grants) {
            const bool less =
                least == nullptr || grant.granted / grant.weight < least->granted / least->weight;
            if (grant.granted < grant.requested && less) {
                least = &grant;
            }
        }
        if (least == nullptr) {
            return;
        }
        ++least->granted;
    }
}

std::vector<grant_change> slot_allocator::update_online(std::string_view host,
                                                        std::uint32_t in_flight, time_point now) {
    m_online.insert_or_assign(std::string(host), online_count{in_flight, now + lease_duration});
    expire(now);
    const std::map<std::string, owner_grant, std::less<>> before = m_grants;
    shrink(free_slots(now));
    grow(window(now));
    std::vector<grant_change> out;
    for (const auto& [owner, grant] : m_grants) {
        if (grant.granted != before.at(owner).granted) {
            out.push_back({owner, grant.granted});
        }
    }
    return out;
}

std::uint32_t slot_allocator::weighted_share(std::string_view owner, std::uint32_t window) const {
    // Slots that owners with a smaller request leave unused are divided among the others.
    double weight = 0;
    for (const auto& [name, grant] : m_grants) {
        weight += grant.weight;
    }
    const owner_grant& own = m_grants.find(owner)->second;
    double remaining = window;
    double remaining_weight = weight;
    for (const auto& [name, grant] : m_grants) {
        const double share = window * grant.weight / weight;
        if (name != owner && grant.requested < share) {
            remaining -= grant.requested;
            remaining_weight -= grant.weight;
        }
    }
    return static_cast<std::uint32_t>(std::ceil(remaining * own.weight / remaining_weight));
}

std::uint32_t slot_allocator::request_slots(std::string_view owner, std::uint32_t in_use,
                                            std::uint32_t requested, double weight,
                                            time_point now) {
    expire(now);
    if (requested == 0 && in_use == 0) {
        m_grants.erase(std::string(owner));
        return 0;
    }
    owner_grant& own = m_grants.try_emplace(std::string(owner)).first->second;
    own.granted = in_use;
    own.requested = std::max(requested, in_use);
    own.weight = std::max(weight, 1e-6);
    own.expires = now + lease_duration;
    const std::uint32_t others = granted() - own.granted;
    const auto remaining = [others](std::uint32_t allowed) {
        return allowed > others ? allowed - others : 0;
    };
    const std::uint32_t fair = std::min(weighted_share(owner, window(now)), remaining(window(now)));
    // Running streams may exceed the window as long as online requests do not need their slots.
    const std::uint32_t keep = std::min({in_use, remaining(free_slots(now)),
                                         std::max(fair, weighted_share(owner, free_slots(now)))});
    own.granted = std::min(own.requested, std::max(fair, keep));
    return own.granted;
}

} // namespace eelgrassdoor::batch
