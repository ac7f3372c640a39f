#include "limits/token_holders.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cstdint>

namespace eelgrassdoor::limits {

namespace {

/// The daemon of \p frontends with the highest weight for \p key among those that are heard and
/// that \p is_allowed accepts, or null.
template <typename Predicate>
const frontend_host* find_highest(const std::vector<frontend_host>& frontends, std::uint64_t key,
                                  Predicate is_allowed) {
    const frontend_host* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const frontend_host& each : frontends) {
        const std::uint64_t weight = rendezvous_weight(key, each.host);
        if (each.is_heard && is_allowed(each) && (best == nullptr || weight > best_weight)) {
            best = &each;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

bool token_holders::set_frontends(std::vector<frontend_host> frontends) {
    if (frontends == m_frontends) {
        return false;
    }
    m_frontends = std::move(frontends);
    m_holders.clear();
    const auto heard = std::count_if(m_frontends.begin(), m_frontends.end(),
                                     [](const auto& each) { return each.is_heard; });
    m_heard_part = m_frontends.empty()
                       ? 0
                       : static_cast<double>(heard) / static_cast<double>(m_frontends.size());
    return true;
}

const std::vector<std::string>& token_holders::holders_of(std::string_view customer) {
    const auto known = m_holders.find(customer);
    if (known != m_holders.end()) {
        return known->second;
    }
    std::vector<std::string> hosts;
    const std::uint64_t key = stable_hash(customer);
    const frontend_host* primary = find_highest(m_frontends, key, [](const auto&) { return true; });
    if (primary != nullptr) {
        hosts.push_back(primary->host);
        const frontend_host* secondary = find_highest(m_frontends, key, [&](const auto& each) {
            return each.availability_zone != primary->availability_zone;
        });
        if (secondary == nullptr) {
            secondary = find_highest(m_frontends, key,
                                     [&](const auto& each) { return each.host != primary->host; });
        }
        if (secondary != nullptr) {
            hosts.push_back(secondary->host);
        }
    }
    return m_holders.emplace(customer, std::move(hosts)).first->second;
}

double token_holders::share_of(std::string_view customer, std::string_view host) {
    const std::vector<std::string>& hosts = holders_of(customer);
    if (!hosts.empty() && hosts.front() == host) {
        return m_heard_part * (hosts.size() > 1 ? 1 - secondary_share : 1);
    }
    return hosts.size() > 1 && hosts.back() == host ? m_heard_part * secondary_share : 0;
}

} // namespace eelgrassdoor::limits
