#include "batch/slot_allocator.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassdoor::batch {

void lane::configure(std::uint32_t slots, double reserve_percent) {
    m_slots = slots;
    m_reserve = static_cast<std::uint32_t>(std::ceil(slots * reserve_percent / 100));
}

void lane::expire(time_point now) {
    std::erase_if(m_online, [now](const auto& e) { return e.second.expires <= now; });
    std::erase_if(m_shares, [now](const auto& e) { return e.second.expires <= now; });
}

std::uint32_t lane::free_slots(time_point now) const {
    std::uint32_t used = 0;
    for (const auto& [host, count] : m_online) {
        used += count.expires > now ? count.in_flight : 0;
    }
    return m_slots > used ? m_slots - used : 0;
}

std::uint32_t lane::window(time_point now) const {
    const std::uint32_t free = free_slots(now);
    return free > m_reserve ? free - m_reserve : 0;
}

std::uint32_t lane::granted() const {
    std::uint32_t sum = 0;
    for (const auto& [owner, s] : m_shares) {
        sum += s.granted;
    }
    return sum;
}

void lane::shrink(std::uint32_t allowed) {
    for (std::uint32_t sum = granted(); sum > allowed; --sum) {
        const auto most =
            std::ranges::max_element(m_shares, {}, [](const auto& e) { return e.second.granted; });
        --most->second.granted;
    }
}

void lane::grow(std::uint32_t allowed) {
    for (std::uint32_t sum = granted(); sum < allowed; ++sum) {
        share* least = nullptr;
        for (auto& [owner, s] : m_shares) {
            const bool less =
                least == nullptr || s.granted / s.weight < least->granted / least->weight;
            if (s.granted < s.want && less) {
                least = &s;
            }
        }
        if (least == nullptr) {
            return;
        }
        ++least->granted;
    }
}

std::vector<grant_change> lane::note_online(std::string_view host, std::uint32_t in_flight,
                                            time_point now) {
    m_online.insert_or_assign(std::string(host), online_count{in_flight, now + renewal_time});
    expire(now);
    const std::map<std::string, share, std::less<>> before = m_shares;
    shrink(free_slots(now));
    grow(window(now));
    std::vector<grant_change> out;
    for (const auto& [owner, s] : m_shares) {
        if (s.granted != before.at(owner).granted) {
            out.push_back({owner, s.granted});
        }
    }
    return out;
}

std::uint32_t lane::fair_share(std::string_view owner, std::uint32_t window) const {
    // Shares that want less than their part leave the rest to the others.
    double weight = 0;
    for (const auto& [name, s] : m_shares) {
        weight += s.weight;
    }
    const share& own = m_shares.find(owner)->second;
    double left = window;
    double left_weight = weight;
    for (const auto& [name, s] : m_shares) {
        const double part = window * s.weight / weight;
        if (name != owner && s.want < part) {
            left -= s.want;
            left_weight -= s.weight;
        }
    }
    return static_cast<std::uint32_t>(std::ceil(left * own.weight / left_weight));
}

std::uint32_t lane::ask(std::string_view owner, std::uint32_t in_use, std::uint32_t want,
                        double weight, time_point now) {
    expire(now);
    if (want == 0 && in_use == 0) {
        m_shares.erase(std::string(owner));
        return 0;
    }
    share& own = m_shares.try_emplace(std::string(owner)).first->second;
    own.granted = in_use;
    own.want = std::max(want, in_use);
    own.weight = std::max(weight, 1e-6);
    own.expires = now + renewal_time;
    const std::uint32_t others = granted() - own.granted;
    const auto left = [others](std::uint32_t allowed) {
        return allowed > others ? allowed - others : 0;
    };
    const std::uint32_t fair = std::min(fair_share(owner, window(now)), left(window(now)));
    // Streams that run go on above the window, as long as online requests do not need the slot.
    const std::uint32_t keep = std::min(
        {in_use, left(free_slots(now)), std::max(fair, fair_share(owner, free_slots(now)))});
    own.granted = std::min(own.want, std::max(fair, keep));
    return own.granted;
}

} // namespace eelgrassdoor::batch
