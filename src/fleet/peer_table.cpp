#include "fleet/peer_table.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassdoor::fleet {

void peer_table::set_registered(const member_map& members) {
    m_registered.clear();
    for (const auto& [host, record] : members) {
        m_registered.emplace(host, record.incarnation);
    }
}

bool peer_table::is_newer(const load_digest& digest, const peer_state& stored,
                          time_point now) const {
    if (digest.incarnation == stored.incarnation) {
        return digest.sequence > stored.sequence;
    }
    const duration silence = now - stored.heard_at;
    const bool was_replaced =
        std::any_of(stored.replaced.begin(), stored.replaced.end(),
                    [&](const replaced_run& run) { return run.incarnation == digest.incarnation; });
    if (was_replaced) {
        return silence > return_silence;
    }
    const auto registered = m_registered.find(digest.host);
    return stored.has_stopped || silence > replacement_silence ||
           (registered != m_registered.end() && registered->second == digest.incarnation);
}

bool peer_table::accept(const load_digest& digest, time_point now) {
    const auto found = m_peers.find(digest.host);
    if (found != m_peers.end() && !is_newer(digest, found->second, now)) {
        return false;
    }
    peer_state next{.incarnation = digest.incarnation,
                    .sequence = digest.sequence,
                    .heard_at = now,
                    .reaches_store = digest.reaches_store && !digest.is_final,
                    .waiting = digest.waiting,
                    .replaced = {},
                    .has_stopped = digest.is_final};
    if (found != m_peers.end()) {
        peer_state& before = found->second;
        next.replaced = std::move(before.replaced);
        if (before.incarnation != digest.incarnation) {
            std::erase_if(next.replaced, [&](const replaced_run& run) {
                return run.incarnation == digest.incarnation;
            });
            next.replaced.push_back({before.incarnation, std::move(before.waiting)});
        }
        if (next.replaced.size() > max_replaced) {
            next.replaced.erase(next.replaced.begin());
        }
    }
    m_peers.insert_or_assign(digest.host, std::move(next));
    return true;
}

std::optional<std::uint64_t> peer_table::incarnation_of(std::string_view host) const {
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? std::nullopt : std::optional(found->second.incarnation);
}

const peer_table::peer_state* peer_table::find_heard(std::string_view host, duration age,
                                                     time_point now) const {
    const auto found = m_peers.find(host);
    return found != m_peers.end() && found->second.is_heard(age, now) ? &found->second : nullptr;
}

bool peer_table::heard_within(std::string_view host, duration age, time_point now) const {
    return find_heard(host, age, now) != nullptr;
}

std::size_t peer_table::count_heard_within(duration age, time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(),
                      [&](const auto& entry) { return entry.second.is_heard(age, now); }));
}

bool peer_table::peer_reaches_store(std::string_view host, duration age, time_point now) const {
    const peer_state* peer = find_heard(host, age, now);
    return peer != nullptr && peer->reaches_store;
}

bool peer_table::any_peer_reaches_store(duration age, time_point now) const {
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return entry.second.reaches_store && entry.second.is_heard(age, now);
    });
}

std::uint64_t peer_table::sum_waiting_tokens(std::uint64_t customer_and_route,
                                             const owns_jobs_fn& owns_jobs) const {
    std::uint64_t sum = 0;
    const auto add = [&](std::string_view host, std::uint64_t incarnation,
                         const std::vector<waiting_tokens>& waiting) {
        for (const waiting_tokens& each : waiting) {
            if (each.customer_and_route == customer_and_route && owns_jobs(host, incarnation)) {
                sum += each.tokens;
            }
        }
    };
    for (const auto& [host, peer] : m_peers) {
        add(host, peer.incarnation, peer.waiting);
        for (const replaced_run& run : peer.replaced) {
            add(host, run.incarnation, run.waiting);
        }
    }
    return sum;
}

} // namespace eelgrassdoor::fleet
